import type { ServicePart } from "../configuration/index.js";

/** One attempt of an admitted request, before a service host is selected. */
export interface DispatchAttempt {
    /** From 1. */
    readonly number: number;
    /** The part of the service whose upstreams are to run it. */
    readonly part: Pick<ServicePart, "key" | "zone" | "index">;
    /** Number of upstreams that earlier attempts sent, or may have sent, the request to. */
    readonly sentBefore: number;
    /** Whether a part has refused it for lack of room, and counted it towards its retry budget. */
    readonly isCounted: boolean;
    /** Names of those upstreams, as far as they are known. */
    readonly excludedUpstreams: readonly string[];
    /** Whether the loads of the service's parts are known from a recent answer. */
    readonly hasRecentLoads: boolean;
    /** Identifies it for a service host that wants to send it to one more upstream. */
    readonly claimId: number;
    /** Whether no other upstream may be tried after this attempt. */
    readonly isLast: boolean;
}
