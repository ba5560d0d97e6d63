import type { DecisionLog } from "../logging/index.js";
import type { PoolLoad } from "../services/index.js";
import type { Clock } from "../time/index.js";

/** Where the loads that are reported come from. */
export interface PoolReporterOptions {
    readonly clock: Clock;
    readonly decisions: DecisionLog;
    readonly memberId: string;
    /** Gets what the pools of this host had to carry lately. */
    readonly getLoads: () => readonly PoolLoad[];
}
