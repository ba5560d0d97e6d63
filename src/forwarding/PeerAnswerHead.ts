import type { OutcomeHead } from "../outcomes/index.js";
import type { PartCapacityReport, PartLoadReport, UpstreamNoticeReport } from "../services/index.js";

/** The answer to a forwarded request without its body. */
export interface PeerAnswerHead {
    readonly outcome: OutcomeHead;
    readonly upstream?: string;
    readonly otherUpstreams?: readonly string[];
    readonly isCrashSuspected?: boolean;
    readonly lostAttempts?: readonly string[];
    readonly freeSlots?: number;
    readonly queued?: number;
    readonly capacity?: PartCapacityReport;
    readonly usualMs?: number;
    readonly otherLoads?: readonly PartLoadReport[];
    readonly notices?: readonly UpstreamNoticeReport[];
}
