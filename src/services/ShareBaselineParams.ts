import type { ServedSummary } from "./ServedSummary.js";
import type { UpstreamSummary } from "./UpstreamSummary.js";

/** A service host's summary of its part of a service. */
export interface ShareBaselineParams {
    readonly service: string;
    /** Tells its part of the service from the others. */
    readonly part: string;
    readonly upstreams: readonly UpstreamSummary[];
    readonly served: ServedSummary;
}
