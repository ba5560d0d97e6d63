/** The expected and the actual time for which a request used its slot. */
export interface SlotUsage {
    /** The time that was expected, in milliseconds. */
    readonly expectedMs: number;
    /** The time that it used, in milliseconds. */
    readonly usedMs: number;
}
