/** The expected and the actual time for which a request used its slot. */
export interface SlotUsage {
    /** The expected time, in milliseconds. */
    readonly expectedMs: number;
    /** The time used, in milliseconds. */
    readonly usedMs: number;
}
