/** How long a request used its slot. */
export interface SlotUse {
    /** The time that was expected, in milliseconds. */
    readonly expectedMs: number;
    /** The time that it used, in milliseconds. */
    readonly usedMs: number;
}
