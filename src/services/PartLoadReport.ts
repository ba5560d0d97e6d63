/** How loaded a part of a service is. */
export interface PartLoadReport {
    /** Tells the part from the service's others. */
    readonly part: string;
    /** Slots that are free on its upstreams. */
    readonly freeSlots: number;
    /** Requests that wait for one. */
    readonly queued: number;
    /** How old the figures are, in milliseconds. */
    readonly ageMs: number;
}
