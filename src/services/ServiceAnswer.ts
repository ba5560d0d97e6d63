import type { Outcome } from "../outcomes/index.js";
import type { UpstreamNoticeReport } from "./notices/UpstreamNoticeReport.js";
import type { PartCapacityReport } from "./sharing/PartCapacityReport.js";
import type { PartLoadReport } from "./sharing/PartLoadReport.js";

/** A service host's answer to one attempt. */
export interface ServiceAnswer {
    readonly outcome: Outcome;
    /** The name of the upstream that was tried last; of several that were tried side by side, the one with the outcome. */
    readonly upstream: string | undefined;
    /** The names of the others that were tried beside it, if any. */
    readonly otherUpstreams?: readonly string[];
    /** Whether the connection was lost while one of these upstreams ran the request, as in a crash. */
    readonly isCrashSuspected: boolean;
    /** The ids of the attempts that were lost so, if any. */
    readonly lostAttempts?: readonly string[];
    /** Free slots on the upstreams of the service host's part. */
    readonly freeSlots: number;
    /** Requests that are queued for a slot there. */
    readonly queued: number;
    /** How much the part can run; undefined if the answer doesn't tell it. */
    readonly capacity?: PartCapacityReport;
    /** The time within which most answers of the request's route start, in milliseconds; undefined while it is not known. */
    readonly usualMs?: number;
    /** Recent load reports of the service's other parts, if any. */
    readonly otherLoads?: readonly PartLoadReport[];
    /** What the upstreams of the service have said about themselves, if anything. */
    readonly notices?: readonly UpstreamNoticeReport[];
}
