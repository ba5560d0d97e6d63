import type { Measurement } from "./Measurement.js";
import type { Scenario } from "./Scenario.js";

/** A scenario's figures for this version and the baseline, one of each per seed. */
export interface ScenarioComparison {
    readonly scenario: Scenario;
    readonly standard: readonly Measurement[];
    readonly baseline: readonly Measurement[];
}
