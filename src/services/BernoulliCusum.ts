const MIN_RATE = 0.001;
const MAX_RATE = 0.98;
const MIN_RATIO = 2;

/** A cumulative-sum test of whether the share of bad results has risen. */
export class BernoulliCusum {
    #evidence = 0;

    /** Gets the evidence for a rise, in natural-log units. */
    getEvidence(): number {
        return this.#evidence;
    }

    /**
     * Records a result; returns what it added to the evidence.
     * @param isBad - Whether the result was bad.
     * @param healthyRate - Share of bad results in health, from 0 to 1.
     * @param failingRate - Share of bad results that must be detected, from 0 to 1.
     * @param limit - Evidence beyond this is not kept, so that a recovery is seen; in natural-log units.
     */
    record(isBad: boolean, healthyRate: number, failingRate: number, limit = Number.POSITIVE_INFINITY): number {
        const healthy = Math.min(Math.max(healthyRate, MIN_RATE), MAX_RATE / MIN_RATIO);
        const failing = Math.min(Math.max(failingRate, MIN_RATIO * healthy), MAX_RATE);
        const increment = isBad ? Math.log(failing / healthy) : Math.log((1 - failing) / (1 - healthy));
        this.#evidence = Math.min(limit, Math.max(0, this.#evidence + increment));
        return increment;
    }

    /**
     * Removes evidence that has turned out to be void.
     * @param amount - In natural-log units.
     */
    remove(amount: number): void {
        this.#evidence = Math.max(0, this.#evidence - amount);
    }

    /** Begins anew. */
    restore(): void {
        this.#evidence = 0;
    }
}
