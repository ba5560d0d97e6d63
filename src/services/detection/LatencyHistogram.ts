const BUCKETS_PER_DOUBLING = 4;
const BUCKET_COUNT = 80;
/** Lower bound of the second bucket, in milliseconds. */
const FIRST_BOUND_MS = 0.25;
/** The weight of a sample halves after about this many further samples. */
const HALF_LIFE_SAMPLES = 500;
const GROWTH = 2 ** (1 / HALF_LIFE_SAMPLES);
const MAX_WEIGHT = 2 ** 40;
/** Cached quantiles are recomputed after this many samples. */
const REFRESH_SAMPLES = 16;

/** Latencies in exponential buckets, in which the weight of old samples decays. */
export class LatencyHistogram {
    readonly #buckets = new Float64Array(BUCKET_COUNT);
    readonly #quantiles = new Map<number, number>();
    #weight = 1;
    #total = 0;
    #count = 0;

    /** Gets the number of samples so far. */
    getCount(): number {
        return this.#count;
    }

    /**
     * Records a sample.
     * @param latencyMs - The latency in milliseconds.
     */
    record(latencyMs: number): void {
        const doublings = Math.log2(Math.max(latencyMs, FIRST_BOUND_MS) / FIRST_BOUND_MS);
        const bucket = Math.min(BUCKET_COUNT - 1, Math.floor(doublings * BUCKETS_PER_DOUBLING));
        this.#buckets[bucket] = this.#buckets[bucket]! + this.#weight;
        this.#total += this.#weight;
        this.#count++;
        this.#weight *= GROWTH;
        if (this.#weight > MAX_WEIGHT) {
            this.#applyScale();
        }
        if (this.#count % REFRESH_SAMPLES === 0 || this.#count < REFRESH_SAMPLES) {
            this.#quantiles.clear();
        }
    }

    /**
     * Gets the upper bound of the bucket that holds a quantile, in milliseconds; undefined without samples.
     * @param quantile - From 0 to 1.
     */
    getQuantile(quantile: number): number | undefined {
        if (this.#count === 0) {
            return undefined;
        }
        let value = this.#quantiles.get(quantile);
        if (value === undefined) {
            value = this.#findQuantile(quantile);
            this.#quantiles.set(quantile, value);
        }
        return value;
    }

    #findQuantile(quantile: number): number {
        let sum = 0;
        let bucket = 0;
        for (; bucket < BUCKET_COUNT - 1; bucket++) {
            sum += this.#buckets[bucket]!;
            if (sum >= quantile * this.#total) {
                break;
            }
        }
        return FIRST_BOUND_MS * 2 ** ((bucket + 1) / BUCKETS_PER_DOUBLING);
    }

    #applyScale(): void {
        this.#buckets.forEach((value, bucket) => this.#buckets[bucket] = value / MAX_WEIGHT);
        this.#total /= MAX_WEIGHT;
        this.#weight /= MAX_WEIGHT;
    }
}
