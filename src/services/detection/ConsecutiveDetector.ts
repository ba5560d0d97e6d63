import type { UpstreamDetector } from "./UpstreamDetector.js";

const CONSECUTIVE_FAILURES = 5;

/** Counts consecutive failures and ignores latency; for comparison only. */
export class ConsecutiveDetector implements UpstreamDetector {
    #failures = 0;

    /**
     * Records whether a request failed; returns what it added to the count.
     * @param isFailure - Whether it failed.
     */
    recordOutcome(isFailure: boolean): number {
        this.#failures = isFailure ? this.#failures + 1 : 0;
        return isFailure ? 1 : 0;
    }

    /** Ignores latency. */
    recordLatency(): void {}

    /**
     * Removes failures that the upstream did not cause.
     * @param amount - The number of failures.
     */
    remove(amount: number): void {
        this.#failures = Math.max(0, this.#failures - amount);
    }

    /** Gets the consecutive failures. */
    getErrorEvidence(): number {
        return this.#failures;
    }

    /** Gets 0, as latency is ignored. */
    getLatencyEvidence(): number {
        return 0;
    }

    /** Gets the consecutive failures at which the upstream is ejected. */
    getThreshold(): number {
        return CONSECUTIVE_FAILURES;
    }

    /** Resets the count. */
    restore(): void {
        this.#failures = 0;
    }
}
