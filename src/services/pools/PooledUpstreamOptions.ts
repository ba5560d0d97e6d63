import type { Clock } from "../../time/index.js";

/** The options of a pooled upstream. */
export interface PooledUpstreamOptions {
    readonly clock: Clock;
    /** Passed trials that restore it; the default of the probation test if undefined. */
    readonly trialsToPass?: number | undefined;
}
