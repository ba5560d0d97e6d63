import type { Clock } from "../time/index.js";

/** A peer that didn't answer is suspected for this long. */
const SUSPICION_MS = 2_000;
/** So many suspected peers at once, while none answers, mean that this host is cut off. */
const CUT_SUSPECTS = 2;
/** A peer's answer within this span shows that this host is not cut off. */
const ANSWERED_SPAN_MS = 1_000;

/** Which peers did not answer this host lately. */
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
     * Whether a peer did not answer lately, or none does and this one has not shown otherwise.
     * @param address - Its peer address.
     */
    isSuspected(address: string): boolean {
        const isSilent = (this.#suspectedUntil.get(address) ?? Number.NEGATIVE_INFINITY) > this.#clock.getTime();
        return isSilent || this.#isCutOff();
    }

    /**
     * Whether a peer answered within a span.
     * @param address - Its peer address.
     * @param spanMs - The span, in milliseconds.
     */
    hasAnsweredWithin(address: string, spanMs: number): boolean {
        const time = this.#answeredTimes.get(address) ?? Number.NEGATIVE_INFINITY;
        return this.#clock.getTime() - time < spanMs;
    }

    #isCutOff(): boolean {
        const now = this.#clock.getTime();
        const suspects = [...this.#suspectedUntil.values()].filter(until => until > now).length;
        return suspects >= CUT_SUSPECTS &&
            ![...this.#answeredTimes.values()].some(time => now - time < ANSWERED_SPAN_MS);
    }
}
