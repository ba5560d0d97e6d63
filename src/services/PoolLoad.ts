/** What a pool of upstreams had to carry lately. */
export interface PoolLoad {
    readonly service: string;
    readonly zone: string;
    /** Tells the part of the service from its others. */
    readonly part: string;
    /** Upstreams that are configured and do not drain. */
    readonly upstreams: number;
    /** Upstreams that take work. */
    readonly working: number;
    /** Upstreams at work only because too few others are. */
    readonly held: number;
    /** Upstreams out of work that failed in time. */
    readonly resting: number;
    /** Upstreams whose answers stay out or that refuse connections. */
    readonly away: number;
    /** Upstreams that had a request in the last two seconds. */
    readonly used: number;
    /** Slots that may be used now, free or not. */
    readonly slots: number;
    readonly freeSlots: number;
    /** Requests that wait for a slot. */
    readonly queued: number;
    /** Requests that ended in the last two seconds. */
    readonly requests: number;
    /** How many of them were not served. */
    readonly unserved: number;
    readonly isUnservedRateHigh: boolean;
}
