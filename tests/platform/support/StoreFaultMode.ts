/** Faults that the mock store simulates. */
export enum StoreFaultMode {
    None = "well",
    /** Answers 503; nothing is done. */
    Unavailable = "busy",
    /** Answers reads that allow old data as they were before the fault, and all other calls with 503. */
    StaleOnly = "stale-only",
    /** Gives no answer. */
    Silent = "silent",
    /** Does what is asked and closes the connection without an answer. */
    LostResponse = "lossy",
}
