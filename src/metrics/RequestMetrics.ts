import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { OutcomeKind } from "../outcomes/index.js";
import type { Outcome } from "../outcomes/index.js";
import type { RequestMetricsReport } from "./RequestMetricsReport.js";

const MICROS_PER_MS = 1000;
const HIGHEST_MICROS = 600_000_000;

/** Counts request outcomes and records the time to the first byte of answers. */
export class RequestMetrics {
    readonly #durations: Histogram = build({
        highestTrackableValue: HIGHEST_MICROS,
        numberOfSignificantValueDigits: 3,
    });
    readonly #counts = new Map<string, number>();

    /**
     * Records a request.
     * @param outcome - The outcome.
     * @param durationMs - Time to the first byte of the answer, in milliseconds.
     */
    record(outcome: Outcome, durationMs: number): void {
        const name = outcome.kind === OutcomeKind.Done ? outcome.kind : `${outcome.kind}: ${outcome.reason}`;
        this.#counts.set(name, (this.#counts.get(name) ?? 0) + 1);
        if (outcome.kind === OutcomeKind.Done) {
            this.#durations.recordValue(Math.min(HIGHEST_MICROS, Math.round(durationMs * MICROS_PER_MS)));
        }
    }

    /** Gets the metrics since the start. */
    getReport(): RequestMetricsReport {
        const getPercentileMs = (percentile: number): number =>
            this.#durations.getValueAtPercentile(percentile) / MICROS_PER_MS;
        return {
            counts: Object.fromEntries([...this.#counts].sort()),
            p50Ms: getPercentileMs(50),
            p99Ms: getPercentileMs(99),
            maxMs: this.#durations.maxValue / MICROS_PER_MS,
        };
    }
}
