import type { DecisionLog } from "../logging/index.js";
import type { PeerTraffic } from "../peers/index.js";
import type { Clock } from "../time/index.js";

/** The sources of a load report. */
export interface LoadReporterOptions {
    readonly clock: Clock;
    readonly decisions: DecisionLog;
    readonly memberId: string;
    readonly traffic: PeerTraffic;
    /** Gets the time since the store copy was last known to be current, in milliseconds. */
    readonly getCopyAge: () => number;
    /** Gets the total time that the event loop was stalled since the start, in milliseconds. */
    readonly getStalledTime: () => number;
}
