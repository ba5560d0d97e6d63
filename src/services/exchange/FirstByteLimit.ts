import { LatencyHistogram } from "../detection/LatencyHistogram.js";

const MIN_SAMPLES = 100;
const MIN_LIMIT_MS = 50;
const HIGH_QUANTILE = 0.99;
const LIMIT_FACTOR = 4;
const FAST_QUANTILE = 0.1;

/** Learns a service's first-byte timeout from the latencies of its responses. */
export class FirstByteLimit {
    readonly #latencies = new LatencyHistogram();

    /**
     * Records the time to a first byte, or the time until a timeout.
     * @param latencyMs - The time, in milliseconds.
     */
    record(latencyMs: number): void {
        this.#latencies.record(latencyMs);
    }

    /** Gets the limit, in milliseconds; infinite while there are too few samples. */
    getLimit(): number {
        const quantile = this.#latencies.getQuantile(HIGH_QUANTILE);
        return quantile === undefined || this.#latencies.getCount() < MIN_SAMPLES
            ? Number.POSITIVE_INFINITY
            : Math.max(MIN_LIMIT_MS, LIMIT_FACTOR * quantile);
    }

    /** Gets a low quantile of the latencies, in milliseconds; 0 while there are too few samples. */
    getFastLatency(): number {
        return this.#latencies.getCount() < MIN_SAMPLES ? 0 : this.#latencies.getQuantile(FAST_QUANTILE) ?? 0;
    }
}
