/** What a service host of a zone reported last, with the attempts sent since then. */
export interface ZoneLoad {
    readonly freeSlots: number;
    readonly queued: number;
    /** When it was reported, in milliseconds of the clock. */
    readonly time: number;
    sentSince: number;
}
