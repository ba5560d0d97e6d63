import { LatencyHistogram } from "./LatencyHistogram.js";

/** Weight of a new result in the moving averages. */
const SMOOTHING = 1 / 64;

/** The recent error rate, slow rate and latencies of an upstream, which are the baseline for its siblings. */
export class UpstreamStatistics {
    readonly latencies = new LatencyHistogram();
    #errorRate = 0;
    #slowRate = 0;

    /** Gets the share of failed requests, from 0 to 1. */
    getErrorRate(): number {
        return this.#errorRate;
    }

    /** Gets the share of slow answers, from 0 to 1. */
    getSlowRate(): number {
        return this.#slowRate;
    }

    /**
     * Records whether a request failed.
     * @param isFailure - Whether it failed.
     */
    recordOutcome(isFailure: boolean): void {
        this.#errorRate += SMOOTHING * (Number(isFailure) - this.#errorRate);
    }

    /**
     * Records the time to the first byte of an answer.
     * @param latencyMs - The time in milliseconds.
     * @param isSlow - Whether it was slow relative to the siblings.
     */
    recordLatency(latencyMs: number, isSlow: boolean): void {
        this.latencies.record(latencyMs);
        this.#slowRate += SMOOTHING * (Number(isSlow) - this.#slowRate);
    }
}
