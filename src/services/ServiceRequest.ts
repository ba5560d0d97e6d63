import type { HeaderFields } from "../outcomes/index.js";
import type { RetryClaim } from "./RetryClaim.js";

/** A request that an account host sends to a service host. */
export interface ServiceRequest {
    readonly requestId: string;
    /** The client account's name; undefined for callers without an API key. */
    readonly account?: string | undefined;
    readonly service: string;
    /** The route whose usual latency applies to the request; undefined if latencies are not measured by route. */
    readonly route?: string;
    /** Priority of the account or route, 0 the highest; 0 if undefined. */
    readonly priority?: number;
    /** The availability zone whose upstreams run the request. */
    readonly zone: string;
    /** Index of the part of the zone's upstreams; 0 if undefined. */
    readonly part?: number;
    readonly method: string;
    /** Path with query. */
    readonly path: string;
    /** Header fields without the caller's key and without connection-level fields. */
    readonly headers: HeaderFields;
    readonly body: Buffer;
    readonly isIdempotent: boolean;
    /** Time until the first byte of the response is due, in milliseconds. */
    readonly timeoutMs: number;
    /** Time within which the caller wants the answer, in milliseconds; undefined if the route has no such target. */
    readonly targetMs?: number;
    /** Time until its sender, which is stopping, aborts it, in milliseconds; undefined if the sender was not stopping. */
    readonly senderRemainingMs?: number;
    /** Whether it may be sent to another upstream if this attempt fails. */
    readonly hasOtherAttempt?: boolean;
    /** Whom to ask before it is; nobody if undefined. */
    readonly retryClaim?: RetryClaim;
    /** Whether the sender knows the recent loads of the service's parts, so that the answer need not repeat them. */
    readonly hasRecentLoads?: boolean;
    /** Whether another part of the service has refused it for lack of room, and counted it towards its retry budget. */
    readonly isCounted?: boolean;
    /** Number of upstreams that the request was, or may have been, sent to before. */
    readonly sentBefore: number;
    /** The names of those upstreams, as far as they are known. */
    readonly excludedUpstreams: readonly string[];
}
