import type { Outcome } from "../outcomes/index.js";
import type { UpstreamNoticeReport } from "./notices/UpstreamNoticeReport.js";
import type { PartCapacityReport } from "./sharing/PartCapacityReport.js";
import type { PartLoadReport } from "./sharing/PartLoadReport.js";

/** A service host's answer to one attempt. */
export interface ServiceAnswer {
    readonly outcome: Outcome;
    /** The name of the upstream that was tried last. */
    readonly upstream: string | undefined;
    /** Whether the connection was lost while that upstream ran the request, as in a crash. */
    readonly isCrashSuspected: boolean;
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
