import type { Outcome } from "../outcomes/index.js";

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
}
