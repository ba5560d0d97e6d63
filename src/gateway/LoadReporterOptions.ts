import type { DecisionLog } from "../logging/index.js";
import type { PeerTraffic } from "../peers/index.js";
import type { Clock } from "../time/index.js";

/** Where the load that is reported comes from. */
export interface LoadReporterOptions {
    readonly clock: Clock;
    readonly decisions: DecisionLog;
    readonly memberId: string;
    readonly traffic: PeerTraffic;
    /** Gets how long ago the copy of the store is known to have been current, in milliseconds. */
    readonly getCopyAge: () => number;
    /** Gets for how long the process has stood still since its start, in milliseconds. */
    readonly getStalledTime: () => number;
}
