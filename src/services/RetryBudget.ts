import type { Clock } from "../time/index.js";

/** Retries that may come at once after a quiet time. */
const MAX_TOKENS = 10;
const RETRY_COST = 1;
/** Retries that are kept for failures that nobody chose to risk. */
const RESERVED_RETRIES = 3;
const MS_PER_SECOND = 1_000;

/** Limits the retries towards a service to a share of its requests and, if it is given, a rate beside. */
export class RetryBudget {
    readonly #clock: Clock;
    #tokens = MAX_TOKENS;
    #time: number;

    /** @param clock - The source of time. */
    constructor(clock: Clock) {
        this.#clock = clock;
        this.#time = clock.getTime();
    }

    /**
     * Adds what a new request earns, and what the time since the last one has brought.
     * @param share - Retries allowed for each request, from 0 to 1.
     * @param rate - Retries allowed beside, per second.
     */
    grant(share: number, rate = 0): void {
        const now = this.#clock.getTime();
        this.#tokens = Math.min(MAX_TOKENS, this.#tokens + share + rate * (now - this.#time) / MS_PER_SECOND);
        this.#time = now;
    }

    /** Whether there is a retry to spare for a lookup that is sent to an upstream which probably fails it. */
    hasSpareRetry(): boolean {
        return this.#tokens >= RESERVED_RETRIES + RETRY_COST;
    }

    /** Spends one retry; returns false if none is left. */
    spend(): boolean {
        if (this.#tokens < RETRY_COST) {
            return false;
        }
        this.#tokens -= RETRY_COST;
        return true;
    }
}
