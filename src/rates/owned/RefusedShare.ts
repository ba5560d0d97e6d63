import type { Clock } from "../../time/index.js";

/** Time in which a count falls to a third, in milliseconds. */
const DECAY_MS = 2_000;
/** Counts to which nothing was added for so long say nothing, in milliseconds. */
const MAX_AGE_MS = 5_000;
/** An account of whose requests more than this share is refused is above its rate. */
const MIN_LIMITED_SHARE = 0.25;

/** Which share of an account's requests was lately refused for its rate, as far as this host knows. */
export class RefusedShare {
    readonly #clock: Clock;
    #time: number;
    #asked = 0;
    #refused = 0;

    /** @param clock - The source of time. */
    constructor(clock: Clock) {
        this.#clock = clock;
        this.#time = clock.getTime();
    }

    /**
     * Records a request for a token.
     * @param isRefused - Whether there was none.
     */
    record(isRefused: boolean): void {
        const now = this.#clock.getTime();
        const decay = Math.exp((this.#time - now) / DECAY_MS);
        this.#time = now;
        this.#asked = this.#asked * decay + 1;
        this.#refused = this.#refused * decay + (isRefused ? 1 : 0);
    }

    /** Whether the account is above its rate. Accounts within their rates are refused now and then, as their requests come irregularly. */
    isLimited(): boolean {
        const isKnown = this.#clock.getTime() - this.#time <= MAX_AGE_MS;
        return isKnown && this.#refused > MIN_LIMITED_SHARE * Math.max(1, this.#asked);
    }
}
