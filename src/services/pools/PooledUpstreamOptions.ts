import type { Clock } from "../../time/index.js";
import type { UpstreamRateLimiter } from "../queue/UpstreamRateLimiter.js";

/** The options of a pooled upstream. */
export interface PooledUpstreamOptions {
    readonly clock: Clock;
    /** Passed trials that restore it; the default of the probation test if undefined. */
    readonly trialsToPass?: number | undefined;
    readonly rateLimiter: UpstreamRateLimiter;
}
