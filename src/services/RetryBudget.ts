/** Retries that may come at once after a quiet time. */
const MAX_TOKENS = 10;
const RETRY_COST = 1;

/** Limits the retries towards a service to a share of its requests. */
export class RetryBudget {
    #tokens = MAX_TOKENS;

    /**
     * Adds the share that a new request earns.
     * @param share - Retries allowed for each request, from 0 to 1.
     */
    grant(share: number): void {
        this.#tokens = Math.min(MAX_TOKENS, this.#tokens + share);
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
