/** How much a part of a service can run and how well it does. */
export interface PartCapacityReport {
    /** Slots that may be used now, free or not: none of upstreams that are ejected or are to be. */
    readonly slots: number;
    /** Mean time for which a request uses a slot, in milliseconds. */
    readonly slotTimeMs: number;
    /** Expected wait of a new request of an account without queued ones, in milliseconds; 0 if a slot is free. */
    readonly waitMs: number;
    /** Share of recent attempts that upstreams have served, from 0 to 1. */
    readonly servedShare: number;
}
