import { PeerMethod } from "../peers/index.js";
import type { PeerHandlers } from "../peers/index.js";

/** Answers service hosts that want to send a running attempt to one more upstream. */
export class RetryClaims {
    readonly #claims = new Map<number, () => boolean>();
    #nextId = 1;

    /** @param handlers - Receives the calls of service hosts. */
    constructor(handlers: PeerHandlers) {
        handlers.add(PeerMethod.ClaimRetry, ({ id }) => ({ isGranted: this.#claims.get(id)?.() ?? false }));
    }

    /**
     * Adds an attempt that has been started; returns its id.
     * @param claim - Grants its service host one more upstream, or returns false.
     */
    add(claim: () => boolean): number {
        const id = this.#nextId++;
        this.#claims.set(id, claim);
        return id;
    }

    /**
     * Removes an attempt that has ended.
     * @param id - Its id.
     */
    remove(id: number): void {
        this.#claims.delete(id);
    }
}
