import { LatencyHistogram } from "./LatencyHistogram.js";

const MIN_SAMPLES = 100;
const MIN_LIMIT_MS = 50;
const HIGH_QUANTILE = 0.99;
const LIMIT_FACTOR = 4;
const FAST_QUANTILE = 0.1;

/** Learns from a service's latencies how long its first byte may take. */
export class FirstByteLimit {
    readonly #latencies = new LatencyHistogram();

    /**
     * Records a time to the first byte, or the time waited in vain.
     * @param latencyMs - The time in milliseconds.
     */
    record(latencyMs: number): void {
        this.#latencies.record(latencyMs);
    }

    /** Gets the limit in milliseconds; infinite while too little is known. */
    getLimit(): number {
        const quantile = this.#latencies.getQuantile(HIGH_QUANTILE);
        return quantile === undefined || this.#latencies.getCount() < MIN_SAMPLES
            ? Number.POSITIVE_INFINITY
            : Math.max(MIN_LIMIT_MS, LIMIT_FACTOR * quantile);
    }

    /** Gets a time that few answers undercut, in milliseconds; 0 while too little is known. */
    getFastLatency(): number {
        return this.#latencies.getCount() < MIN_SAMPLES ? 0 : this.#latencies.getQuantile(FAST_QUANTILE) ?? 0;
    }
}
