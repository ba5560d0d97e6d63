const MIN_RATE = 0.001;
const MAX_RATE = 0.98;
const MIN_RATIO = 2;

/** A cumulative-sum (CUSUM) test of whether the share of bad results has risen. */
export class BernoulliCusum {
    #evidence = 0;

    /** Gets the evidence for a rise, in natural-log units. */
    getEvidence(): number {
        return this.#evidence;
    }

    /**
     * Records a result; returns what it added to the evidence.
     * @param isBad - Whether the result was bad.
     * @param healthyRate - Share of bad results of a healthy upstream, from 0 to 1.
     * @param failingRate - Share of bad results that must be detected, from 0 to 1.
     * @param limit - The cap of the evidence, so that a recovery is seen; in natural-log units.
     */
    record(isBad: boolean, healthyRate: number, failingRate: number, limit = Number.POSITIVE_INFINITY): number {
        const healthy = Math.min(Math.max(healthyRate, MIN_RATE), MAX_RATE / MIN_RATIO);
        const failing = Math.min(Math.max(failingRate, MIN_RATIO * healthy), MAX_RATE);
        const increment = isBad ? Math.log(failing / healthy) : Math.log((1 - failing) / (1 - healthy));
        this.#evidence = Math.min(limit, Math.max(0, this.#evidence + increment));
        return increment;
    }

    /**
     * Removes evidence that is no longer valid.
     * @param amount - In natural-log units.
     */
    remove(amount: number): void {
        this.#evidence = Math.max(0, this.#evidence - amount);
    }

    /** Resets the evidence. */
    restore(): void {
        this.#evidence = 0;
    }
}
