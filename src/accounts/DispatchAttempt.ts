import type { ServicePart } from "../configuration/index.js";

/** One attempt of an admitted request, before it is known which service host takes it. */
export interface DispatchAttempt {
    /** From 1. */
    readonly number: number;
    /** The part of the service whose upstreams shall run it. */
    readonly part: Pick<ServicePart, "key" | "zone" | "index">;
    /** How many upstreams the request was, or may have been, sent to before. */
    readonly sentBefore: number;
    /** The upstreams among them that are known. */
    readonly excludedUpstreams: readonly string[];
    /** Whether the request may go to no further upstream after this one. */
    readonly isLast: boolean;
}
