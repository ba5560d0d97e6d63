import type { LoadReport } from "../load/index.js";
import type { LoggedDecision } from "./LoggedDecision.js";
import type { Measurement } from "./Measurement.js";

/** The figures of one run of a scenario, and the report that they were computed from. */
export interface ScenarioResult {
    readonly measurement: Measurement;
    readonly report: LoadReport;
    /** The ejections and restorations that the entry hosts logged. */
    readonly decisions: readonly LoggedDecision[];
}
