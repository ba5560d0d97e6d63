import type { BaselineRates } from "./BaselineRates.js";

/** Accumulates the evidence of failures and slowness of one upstream from the results of its requests. */
export interface UpstreamDetector {
    /**
     * Records whether a request failed; returns what it added to the evidence.
     * @param isFailure - Whether it failed.
     * @param baseline - The rates of the upstream's siblings.
     */
    recordOutcome(isFailure: boolean, baseline: BaselineRates): number;
    /**
     * Records whether an answer was slow relative to those of the siblings.
     * @param isSlow - Whether it was slow.
     * @param baseline - The rates of the upstream's siblings.
     */
    recordLatency(isSlow: boolean, baseline: BaselineRates): void;
    /**
     * Removes evidence of failures that the upstream did not cause.
     * @param amount - The evidence that recordOutcome returned.
     */
    remove(amount: number): void;
    /** Gets the evidence of failures. */
    getErrorEvidence(): number;
    /** Gets the evidence of slowness. */
    getLatencyEvidence(): number;
    /** Gets the evidence at which the upstream is ejected. */
    getThreshold(): number;
    /** Resets the evidence. */
    restore(): void;
}
