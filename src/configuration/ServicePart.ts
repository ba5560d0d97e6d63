import type { Upstream } from "./Upstream.js";

/** A partition of a service's upstreams: those in one availability zone, or a subset of them if the zone has many. */
export interface ServicePart {
    /** Identifies the part within the service. */
    readonly key: string;
    readonly zone: string;
    /** The part's index within the zone, from 0. */
    readonly index: number;
    /** The upstreams of the part, at least one. */
    readonly upstreams: readonly Upstream[];
    /** Total slots of the upstreams that are not draining. */
    readonly slots: number;
}
