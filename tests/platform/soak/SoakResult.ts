import type { SoakCall } from "./load/SoakCall.js";
import type { SoakPlan } from "./plan/SoakPlan.js";
import type { Finding } from "./promises/Finding.js";
import type { SoakRun } from "./promises/SoakRun.js";

/** The outcome of one run of the soak. */
export interface SoakResult {
    readonly plan: SoakPlan;
    readonly findings: readonly Finding[];
    readonly calls: ReadonlyMap<string, SoakCall>;
    readonly runs: readonly SoakRun[];
    /** Log of each host, by its id. */
    readonly logs: ReadonlyMap<string, string>;
    /** Time of longest delay of the soak's own event loop, in milliseconds. */
    readonly longestDelayMs: number;
}
