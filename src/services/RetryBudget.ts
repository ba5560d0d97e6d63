import type { Clock } from "../time/index.js";

/** Retries that may come at once after a quiet time, from a budget that is not shared. */
const MAX_TOKENS = 10;
const RETRY_COST = 1;
/** Retries that are kept for failures that nobody chose to risk. */
const RESERVED_RETRIES = 3;
const MS_PER_SECOND = 1_000;

/** Limits the retries towards a service to a share of its requests and, if it is given, a rate beside. */
export class RetryBudget {
    readonly #clock: Clock;
    readonly #getPart: () => number;
    #tokens: number;
    #time: number;

    /**
     * @param clock - The source of time.
     * @param getPart - Gets this budget's part of what the service is allowed beside its requests, from 0 to 1.
     */
    constructor(clock: Clock, getPart: () => number = () => 1) {
        this.#clock = clock;
        this.#getPart = getPart;
        this.#tokens = this.#getMost();
        this.#time = clock.getTime();
    }

    /**
     * Adds what a new request earns, and what the time since the last one has brought.
     * @param share - Retries allowed for each request, from 0 to 1.
     * @param rate - Retries that all who share the budget are allowed beside, per second.
     */
    grant(share: number, rate = 0): void {
        const now = this.#clock.getTime();
        const added = share + this.#getPart() * rate * (now - this.#time) / MS_PER_SECOND;
        this.#tokens = Math.min(this.#getMost(), this.#tokens + added);
        this.#time = now;
    }

    /** A part that is too small for a whole retry allows one at once. */
    #getMost(): number {
        return Math.max(RETRY_COST, MAX_TOKENS * this.#getPart());
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
