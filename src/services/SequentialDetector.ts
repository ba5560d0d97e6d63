import type { DetectionSettings } from "../configuration/index.js";
import type { BaselineRates } from "./BaselineRates.js";
import { BernoulliCusum } from "./BernoulliCusum.js";
import type { UpstreamDetector } from "./UpstreamDetector.js";

/** How far above its siblings' share an upstream's share of bad results may lie. */
const SIBLING_TOLERANCE = 1.5;
const MIN_SLOW_RATE = 0.02;
/** Evidence is kept up to this multiple of the threshold. */
const KEPT_EVIDENCE = 1.5;
const SLOW_RATE_TO_DETECT = 0.5;

/** Detects a rise of failures, and of slowness against the siblings, by cumulative-sum tests. */
export class SequentialDetector implements UpstreamDetector {
    readonly #getSettings: () => DetectionSettings;
    readonly #errors = new BernoulliCusum();
    readonly #latencies = new BernoulliCusum();

    /** @param getSettings - Gets the wanted balance. */
    constructor(getSettings: () => DetectionSettings) {
        this.#getSettings = getSettings;
    }

    /**
     * Records whether a request failed; returns what it added to the evidence.
     * @param isFailure - Whether it failed.
     * @param baseline - How the upstream's siblings fare.
     */
    recordOutcome(isFailure: boolean, baseline: BaselineRates): number {
        const { healthyErrorRate, failingErrorRate, ejectThreshold } = this.#getSettings();
        const healthy = Math.max(healthyErrorRate, SIBLING_TOLERANCE * baseline.errorRate);
        return this.#errors.record(isFailure, healthy, failingErrorRate, KEPT_EVIDENCE * ejectThreshold);
    }

    /**
     * Records whether an answer was slow against those of the siblings.
     * @param isSlow - Whether it was slow.
     * @param baseline - How the upstream's siblings fare.
     */
    recordLatency(isSlow: boolean, baseline: BaselineRates): void {
        const healthy = Math.max(MIN_SLOW_RATE, SIBLING_TOLERANCE * baseline.slowRate);
        const { ejectThreshold, slowThreshold } = this.#getSettings();
        const limit = KEPT_EVIDENCE * (slowThreshold ?? ejectThreshold);
        this.#latencies.record(isSlow, healthy, SLOW_RATE_TO_DETECT, limit);
    }

    /**
     * Removes evidence of failures that was not the upstream's fault.
     * @param amount - What recordOutcome returned.
     */
    remove(amount: number): void {
        this.#errors.remove(amount);
    }

    /** Gets the evidence of failures, in natural-log units. */
    getErrorEvidence(): number {
        return this.#errors.getEvidence();
    }

    /** Gets the evidence of slowness, in natural-log units, scaled to the threshold of failures. */
    getLatencyEvidence(): number {
        const { ejectThreshold, slowThreshold } = this.#getSettings();
        return this.#latencies.getEvidence() * ejectThreshold / (slowThreshold ?? ejectThreshold);
    }

    /** Gets the evidence at which the upstream is ejected. */
    getThreshold(): number {
        return this.#getSettings().ejectThreshold;
    }

    /** Begins anew. */
    restore(): void {
        this.#errors.restore();
        this.#latencies.restore();
    }
}
