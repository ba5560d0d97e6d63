/** The recent load of a pool of upstreams. */
export interface PoolLoad {
    readonly service: string;
    readonly zone: string;
    /** The key of the service's part. */
    readonly part: string;
    /** Configured upstreams, without draining ones. */
    readonly upstreams: number;
    /** Upstreams that are neither ejected nor on probation. */
    readonly working: number;
    /** Upstreams whose ejection is withheld because of the floor. */
    readonly held: number;
    /** Ejected upstreams and those on probation whose last failure came in time for a retry. */
    readonly resting: number;
    /** Upstreams that have stopped responding or refuse connections. */
    readonly away: number;
    /** Upstreams that have named a limit of their request rate. */
    readonly limited: number;
    /** Upstreams that were sent a request in the last two seconds. */
    readonly used: number;
    /** Usable slots, free or in use. */
    readonly slots: number;
    readonly freeSlots: number;
    /** Requests that are queued for a slot. */
    readonly queued: number;
    /** Requests that ended in the last two seconds. */
    readonly requests: number;
    /** How many of these requests were not served. */
    readonly unserved: number;
    /** Whether so many requests of the service go unserved that ejected upstreams are needed. */
    readonly isUnservedRateHigh: boolean;
}
