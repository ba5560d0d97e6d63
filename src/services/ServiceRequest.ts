import type { HeaderFields } from "../outcomes/index.js";

/** A request on its way from an account host to a service host. */
export interface ServiceRequest {
    readonly requestId: string;
    readonly account: string;
    readonly service: string;
    /** The route that it came by, which tells how long it usually takes; undefined if latencies are not told apart. */
    readonly route?: string;
    /** Rank of its account or route, 0 the highest; all rank alike if undefined. */
    readonly priority?: number;
    /** The availability zone whose upstreams shall run it. */
    readonly zone: string;
    /** Number of the part of the zone's upstreams; the first if undefined. */
    readonly part?: number;
    readonly method: string;
    /** Path with query. */
    readonly path: string;
    /** Without the caller's key and without connection-level fields. */
    readonly headers: HeaderFields;
    readonly body: Buffer;
    readonly isIdempotent: boolean;
    /** Time left until the first byte of the answer, in milliseconds. */
    readonly timeoutMs: number;
    /** How many upstreams it was, or may have been, sent to before. */
    readonly sentBefore: number;
    /** The upstreams among them that are known. */
    readonly excludedUpstreams: readonly string[];
}
