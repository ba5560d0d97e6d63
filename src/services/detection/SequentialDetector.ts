import type { DetectionSettings } from "../../configuration/index.js";
import type { BaselineRates } from "./BaselineRates.js";
import { BernoulliCusum } from "./BernoulliCusum.js";
import type { UpstreamDetector } from "./UpstreamDetector.js";

/** Factor by which an upstream's share of bad results may exceed that of its siblings. */
const SIBLING_TOLERANCE = 1.5;
const MIN_SLOW_RATE = 0.02;
/** Evidence is capped at this multiple of the threshold, so that a recovery is seen. */
const MAX_EVIDENCE_FACTOR = 1.5;
const SLOW_RATE_TO_DETECT = 0.5;

/** Detects a rise of failures, and of slowness relative to the siblings, with cumulative-sum (CUSUM) tests. */
export class SequentialDetector implements UpstreamDetector {
    readonly #getSettings: () => DetectionSettings;
    readonly #errors = new BernoulliCusum();
    readonly #latencies = new BernoulliCusum();

    /** @param getSettings - Gets the detection settings. */
    constructor(getSettings: () => DetectionSettings) {
        this.#getSettings = getSettings;
    }

    /**
     * Records whether a request failed; returns what it added to the evidence.
     * @param isFailure - Whether it failed.
     * @param baseline - The rates of the upstream's siblings.
     */
    recordOutcome(isFailure: boolean, baseline: BaselineRates): number {
        const { healthyErrorRate, failingErrorRate, ejectThreshold } = this.#getSettings();
        const healthy = Math.max(healthyErrorRate, SIBLING_TOLERANCE * baseline.errorRate);
        return this.#errors.record(isFailure, healthy, failingErrorRate, MAX_EVIDENCE_FACTOR * ejectThreshold);
    }

    /**
     * Records whether an answer was slow relative to those of the siblings.
     * @param isSlow - Whether it was slow.
     * @param baseline - The rates of the upstream's siblings.
     */
    recordLatency(isSlow: boolean, baseline: BaselineRates): void {
        const healthy = Math.max(MIN_SLOW_RATE, SIBLING_TOLERANCE * baseline.slowRate);
        const { ejectThreshold, slowThreshold } = this.#getSettings();
        const limit = MAX_EVIDENCE_FACTOR * (slowThreshold ?? ejectThreshold);
        this.#latencies.record(isSlow, healthy, SLOW_RATE_TO_DETECT, limit);
    }

    /**
     * Removes evidence of failures that the upstream did not cause.
     * @param amount - The evidence that recordOutcome returned.
     */
    remove(amount: number): void {
        this.#errors.remove(amount);
    }

    /** Gets the evidence of failures, in natural-log units. */
    getErrorEvidence(): number {
        return this.#errors.getEvidence();
    }

    /** Gets the evidence of slowness, in natural-log units, scaled to the ejection threshold. */
    getLatencyEvidence(): number {
        const { ejectThreshold, slowThreshold } = this.#getSettings();
        return this.#latencies.getEvidence() * ejectThreshold / (slowThreshold ?? ejectThreshold);
    }

    /** Gets the evidence at which the upstream is ejected. */
    getThreshold(): number {
        return this.#getSettings().ejectThreshold;
    }

    /** Resets the evidence. */
    restore(): void {
        this.#errors.restore();
        this.#latencies.restore();
    }
}
