/** How much a part of a service can run, as an entry host expects it. */
export interface PartCapacity {
    /** Slots that may be used now, free or not: none of ejected upstreams. */
    readonly slots: number;
    /** Mean time for which a request uses a slot, in milliseconds. */
    readonly slotTimeMs: number;
    /** Requests ahead of a new one that have no slot; below 0 if slots are free. */
    readonly backlog: number;
}
