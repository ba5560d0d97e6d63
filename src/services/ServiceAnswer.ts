import type { Outcome } from "../outcomes/index.js";
import type { PartLoadReport } from "./PartLoadReport.js";

/** A service host's answer to one attempt. */
export interface ServiceAnswer {
    readonly outcome: Outcome;
    /** The upstream that was tried last. */
    readonly upstream: string | undefined;
    /** Whether that upstream seems to have crashed while it ran the request. */
    readonly isCrashSuspected: boolean;
    /** Slots that are free on the service host's upstreams. */
    readonly freeSlots: number;
    /** Requests that wait there. */
    readonly queued: number;
    /** How loaded the service's other parts are, as far as it is known; left out where nothing is. */
    readonly otherLoads?: readonly PartLoadReport[];
}
