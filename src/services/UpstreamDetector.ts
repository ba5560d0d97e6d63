import type { BaselineRates } from "./BaselineRates.js";

/** Judges one upstream by the outcomes of its real work. */
export interface UpstreamDetector {
    /**
     * Records whether a request failed; returns what it added to the evidence.
     * @param isFailure - Whether it failed.
     * @param baseline - How the upstream's siblings fare.
     */
    recordOutcome(isFailure: boolean, baseline: BaselineRates): number;
    /**
     * Records whether an answer was slow against those of the siblings.
     * @param isSlow - Whether it was slow.
     * @param baseline - How the upstream's siblings fare.
     */
    recordLatency(isSlow: boolean, baseline: BaselineRates): void;
    /**
     * Removes evidence of failures that was not the upstream's fault.
     * @param amount - What recordOutcome returned.
     */
    remove(amount: number): void;
    /** Gets the evidence of failures. */
    getErrorEvidence(): number;
    /** Gets the evidence of slowness. */
    getLatencyEvidence(): number;
    /** Gets the evidence at which the upstream is ejected. */
    getThreshold(): number;
    /** Begins anew. */
    restore(): void;
}
