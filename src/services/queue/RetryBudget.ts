import type { Clock } from "../../time/index.js";

/** Largest capacity of the token bucket of a budget that is not shared, in retries. */
const MAX_TOKENS = 10;
const RETRY_COST = 1;
/** Tokens that are reserved for retries of failures other than those of trials. */
const RESERVED_RETRIES = 3;
/** Share of the bucket that each step down in priority leaves to more urgent retries. */
const RESERVED_SHARE_PER_PRIORITY = 0.3;
/** Less urgent priorities leave as much as this one, so that no priority is without retries while there is plenty. */
const LOWEST_PRIORITY = 3;
const MS_PER_SECOND = 1_000;

/** Limits the retries of a service to a share of its requests plus an optional rate (token bucket), the last ones for urgent requests. */
export class RetryBudget {
    readonly #clock: Clock;
    readonly #getShare: () => number;
    readonly #getBurst: () => number;
    #tokens: number;
    #time: number;

    /**
     * @param clock - The source of time.
     * @param getShare - Gets this budget's share of the bucket and of the retry rate, from 0 to 1.
     * @param getBurst - Gets how many retries all that share the budget may grant at once.
     */
    constructor(clock: Clock, getShare: () => number = () => 1, getBurst: () => number = () => MAX_TOKENS) {
        this.#clock = clock;
        this.#getShare = getShare;
        this.#getBurst = getBurst;
        this.#tokens = this.#getMaxTokens();
        this.#time = clock.getTime();
    }

    /**
     * Adds the tokens of a new request and of the time since the previous one.
     * @param share - Retries allowed for each request, from 0 to 1.
     * @param rate - Additional retries for all that share the budget, per second.
     */
    grant(share: number, rate = 0): void {
        const now = this.#clock.getTime();
        const added = share + this.#getShare() * rate * (now - this.#time) / MS_PER_SECOND;
        this.#tokens = Math.min(this.#getMaxTokens(), this.#tokens + added);
        this.#time = now;
    }

    /** A share that is too small for a whole retry still allows one, and a burst that is too small for a trial still allows one. */
    #getMaxTokens(): number {
        const burst = Math.min(MAX_TOKENS, Math.max(RESERVED_RETRIES + RETRY_COST, this.#getBurst()));
        return Math.max(RETRY_COST, burst * this.#getShare());
    }

    /** Whether a retry is left above the reserve, for an idempotent request that is a trial of a faulty upstream. */
    hasSpareRetry(): boolean {
        return this.#tokens >= RESERVED_RETRIES + RETRY_COST;
    }

    /**
     * Spends one retry; returns false if none is left to requests of the priority.
     * @param priority - The request's priority, 0 the highest.
     */
    spend(priority = 0): boolean {
        const steps = priority > 0 ? Math.min(priority, LOWEST_PRIORITY) : 0;
        const reserved = steps * RESERVED_SHARE_PER_PRIORITY * (this.#getMaxTokens() - RETRY_COST);
        if (this.#tokens < RETRY_COST + reserved) {
            return false;
        }
        this.#tokens -= RETRY_COST;
        return true;
    }

    /** Grants a retry again that was spent for a request which was then not sent. */
    grantUnused(): void {
        this.#tokens = Math.min(this.#getMaxTokens(), this.#tokens + RETRY_COST);
    }
}
