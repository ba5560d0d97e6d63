import type { ServedSummary } from "./ServedSummary.js";
import type { UpstreamSummary } from "./UpstreamSummary.js";

/** A service host's summary of its part of a service. */
export interface ShareBaselineParams {
    readonly service: string;
    /** The availability zone of the upstreams. */
    readonly zone: string;
    readonly upstreams: readonly UpstreamSummary[];
    readonly served: ServedSummary;
}
