/** What the service host of a part reported last, with the attempts sent since then. */
export interface PartLoad {
    readonly freeSlots: number;
    readonly queued: number;
    /** When it was reported, in milliseconds of the clock. */
    readonly time: number;
    sentSinceReport: number;
}
