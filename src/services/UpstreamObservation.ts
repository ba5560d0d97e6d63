import type { ObservationKind } from "./ObservationKind.js";

/** What an attempt has shown of an upstream. */
export interface UpstreamObservation {
    readonly kind: ObservationKind;
    readonly requestId: string;
    /** Time to the first byte, or time waited for it, in milliseconds; undefined if nothing was waited for. */
    readonly latencyMs: number | undefined;
    readonly detail: string;
    /** Whether the upstream itself answered, with a failure, rather than leaving the request without an answer. */
    readonly isAnswered?: boolean;
    /** What such a request usually takes, in milliseconds; the siblings' median if undefined. */
    readonly usualMs?: number | undefined;
}
