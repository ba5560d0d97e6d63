import type { Clock } from "../time/index.js";

const MS_PER_SECOND = 1_000;

/** Limits calls per second by a token bucket; the limit may change at any time. */
export class CallLimiter {
    readonly #clock: Clock;
    #tokens = Infinity;
    #limit: number | undefined;
    #time: number;

    /** @param clock - The source of time. */
    constructor(clock: Clock) {
        this.#clock = clock;
        this.#time = clock.getTime();
    }

    /**
     * Admits a call if the limit allows it.
     * @param limit - Calls per second, also the size of the bucket; undefined for no limit.
     */
    admit(limit: number | undefined): boolean {
        if (limit === undefined) {
            this.#limit = undefined;
            return true;
        }
        this.#grantTokens(limit);
        if (this.#tokens < 1) {
            return false;
        }
        this.#tokens--;
        return true;
    }

    #grantTokens(limit: number): void {
        const now = this.#clock.getTime();
        const earned = this.#limit === limit ? limit * (now - this.#time) / MS_PER_SECOND : limit;
        this.#tokens = Math.min(limit, (this.#limit === limit ? this.#tokens : 0) + earned);
        this.#limit = limit;
        this.#time = now;
    }
}
