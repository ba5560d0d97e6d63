import type { Clock } from "../time/index.js";

/** What an upstream of a pool works with. */
export interface PooledUpstreamOptions {
    readonly clock: Clock;
    /** Trials in time that bring it back; the usual number if undefined. */
    readonly trialsToPass?: number | undefined;
}
