import type { RequestCounts } from "../detection/RequestCounts.js";
import type { UpstreamSummary } from "../detection/UpstreamSummary.js";
import type { UpstreamNoticeReport } from "../notices/UpstreamNoticeReport.js";
import type { PartLoadReport } from "./PartLoadReport.js";

/** The summary of a part of a service that its service host shares. */
export interface ShareBaselineParams {
    /** What the service's upstreams have said about themselves, if anything. */
    readonly notices?: readonly UpstreamNoticeReport[];
    readonly service: string;
    /** The key of its part of the service. */
    readonly part: string;
    readonly upstreams: readonly UpstreamSummary[];
    readonly served: RequestCounts;
    /** The load of the part; undefined from a host that does not report it. */
    readonly load?: Omit<PartLoadReport, "part">;
}
