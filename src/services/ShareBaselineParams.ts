import type { PartLoadReport } from "./PartLoadReport.js";
import type { RequestCounts } from "./RequestCounts.js";
import type { UpstreamSummary } from "./UpstreamSummary.js";

/** A service host's summary of its part of a service. */
export interface ShareBaselineParams {
    readonly service: string;
    /** Tells its part of the service from the others. */
    readonly part: string;
    readonly upstreams: readonly UpstreamSummary[];
    readonly served: RequestCounts;
    /** How loaded the part is; left out by a host that does not tell. */
    readonly load?: Omit<PartLoadReport, "part">;
}
