import type { Clock } from "../time/index.js";

/** How long a peer that didn't answer is suspected, in milliseconds. */
const SUSPICION_MS = 2_000;
/** With this many suspected peers and no recent answer from any peer, this host counts as cut off. */
const CUT_OFF_SUSPECTS = 2;
/** A peer's answer within this time shows that this host is not cut off, in milliseconds. */
const RECENT_ANSWER_MS = 1_000;

/** Tracks which peers recently did not answer this host. */
export class PeerSuspicion {
    readonly #clock: Clock;
    readonly #suspectedUntil = new Map<string, number>();
    readonly #answeredTimes = new Map<string, number>();

    /** @param clock - The source of time. */
    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /**
     * Records that a peer did not answer.
     * @param address - Its peer address.
     */
    recordSilent(address: string): void {
        this.#suspectedUntil.set(address, this.#clock.getTime() + SUSPICION_MS);
    }

    /**
     * Records that a peer answered.
     * @param address - Its peer address.
     */
    recordAnswer(address: string): void {
        this.#suspectedUntil.delete(address);
        this.#answeredTimes.set(address, this.#clock.getTime());
    }

    /**
     * Whether a peer recently did not answer, or this host is cut off from all peers.
     * @param address - Its peer address.
     */
    isSuspected(address: string): boolean {
        const isSilent = (this.#suspectedUntil.get(address) ?? Number.NEGATIVE_INFINITY) > this.#clock.getTime();
        return isSilent || this.#isCutOff();
    }

    /**
     * Whether a peer answered within a time.
     * @param address - Its peer address.
     * @param periodMs - The time in milliseconds.
     */
    hasAnsweredWithin(address: string, periodMs: number): boolean {
        const time = this.#answeredTimes.get(address) ?? Number.NEGATIVE_INFINITY;
        return this.#clock.getTime() - time < periodMs;
    }

    #isCutOff(): boolean {
        const now = this.#clock.getTime();
        const suspects = [...this.#suspectedUntil.values()].filter(until => until > now).length;
        return suspects >= CUT_OFF_SUSPECTS &&
            ![...this.#answeredTimes.values()].some(time => now - time < RECENT_ANSWER_MS);
    }
}
