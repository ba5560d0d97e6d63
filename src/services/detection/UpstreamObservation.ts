import type { ObservationKind } from "./ObservationKind.js";

/** The result of an attempt as far as it concerns the health of its upstream. */
export interface UpstreamObservation {
    readonly kind: ObservationKind;
    readonly requestId: string;
    /** Time to the first byte, or time waited for it, in milliseconds; undefined if there was no wait. */
    readonly latencyMs: number | undefined;
    readonly detail: string;
    /** Whether the upstream itself answered with a failure, rather than leaving the request unanswered. */
    readonly isAnswered?: boolean;
    /** The median latency of such requests, in milliseconds; the siblings' median if undefined. */
    readonly usualMs?: number | undefined;
}
