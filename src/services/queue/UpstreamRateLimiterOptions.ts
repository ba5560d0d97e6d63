import type { Clock } from "../../time/index.js";

/** The dependencies of an upstream's rate limiter. */
export interface UpstreamRateLimiterOptions {
    readonly clock: Clock;
    /** Gets the requests per second that the upstream accepts from all hosts together; Infinity for no limit. */
    readonly getRate: () => number;
    /** Gets for how long the rate lasts, in milliseconds; Infinity if it is not known when it ends. */
    readonly getRemainingMs: () => number;
    /** Gets this host's share of that rate, above 0. */
    readonly getShare: () => number;
}
