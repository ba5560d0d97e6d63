import type { Upstream } from "./Upstream.js";

/** The upstreams of a service in one availability zone, or some of them where the zone has many. */
export interface ServicePart {
    /** Tells the part from the service's others. */
    readonly key: string;
    readonly zone: string;
    /** Its number in the zone, from 0. */
    readonly index: number;
    /** At least one. */
    readonly upstreams: readonly Upstream[];
    /** The slots of those that are not leaving. */
    readonly slots: number;
}
