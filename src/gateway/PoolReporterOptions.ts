import type { DecisionLog } from "../logging/index.js";
import type { PoolLoad } from "../services/index.js";
import type { Clock } from "../time/index.js";

/** The sources of the pool reports. */
export interface PoolReporterOptions {
    readonly clock: Clock;
    readonly decisions: DecisionLog;
    readonly memberId: string;
    /** Gets the recent load of this host's upstream pools. */
    readonly getLoads: () => readonly PoolLoad[];
}
