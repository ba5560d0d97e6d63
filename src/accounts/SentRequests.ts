import type { Member } from "../head/index.js";
import { PeerMethod } from "../peers/index.js";
import type { DispatcherOptions } from "./DispatcherOptions.js";

const MAX_TRIES = 3;
const RECORD_TIMEOUT_MS = 300;
/** Time between two tries, in milliseconds. */
const RETRY_INTERVAL_MS = 50;

/** The requests that service hosts have now; when this host leaves, it tells them how much time is left for these. */
export class SentRequests {
    readonly #options: Pick<DispatcherOptions, "clock" | "membership" | "transport" | "serviceRunner">;
    /** Ids of the requests, by the service host's peer address. */
    readonly #ids = new Map<string, Set<string>>();
    #endTime: number | undefined;

    /** @param options - The dependencies. */
    constructor(options: Pick<DispatcherOptions, "clock" | "membership" | "transport" | "serviceRunner">) {
        this.#options = options;
    }

    /** Gets the time until this host aborts its requests, in milliseconds; undefined if it is not leaving. */
    getRemaining(): number | undefined {
        return this.#endTime === undefined ? undefined : Math.max(0, this.#endTime - this.#options.clock.getTime());
    }

    /**
     * Runs a request that a service host has until it ends.
     * @param host - The service host.
     * @param requestId - The request's id.
     * @param run - Sends it and waits for its answer.
     */
    async run<T>({ peerAddress }: Member, requestId: string, run: () => Promise<T>): Promise<T> {
        const ids = this.#ids.get(peerAddress) ?? new Set();
        this.#ids.set(peerAddress, ids.add(requestId));
        try {
            return await run();
        }
        finally {
            ids.delete(requestId);
            if (ids.size === 0 && this.#ids.get(peerAddress) === ids) {
                this.#ids.delete(peerAddress);
            }
        }
    }

    /**
     * Tells the service hosts when this host aborts its requests.
     * @param endTime - That time, in milliseconds of the clock.
     */
    leave(endTime: number): void {
        this.#endTime = endTime;
        this.#ids.forEach((ids, peerAddress) => void this.#publishEnd(peerAddress, ids));
    }

    async #publishEnd(peerAddress: string, ids: ReadonlySet<string>): Promise<void> {
        const { clock, membership, transport, serviceRunner } = this.#options;
        if (peerAddress === membership.getSelf().peerAddress) {
            serviceRunner.recordSenderEnd({ requestIds: [...ids], remainingMs: this.getRemaining()! });
            return;
        }
        for (let tries = 0; tries < MAX_TRIES && ids.size > 0; tries++) {
            const params = { requestIds: [...ids], remainingMs: this.getRemaining()! };
            try {
                await transport.send(peerAddress, PeerMethod.RecordSenderEnd, params, RECORD_TIMEOUT_MS);
                return;
            }
            catch {
                await clock.wait(RETRY_INTERVAL_MS);
            }
        }
    }
}
