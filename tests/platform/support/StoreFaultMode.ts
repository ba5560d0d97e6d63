/** Faults that the mock store simulates. */
export enum StoreFaultMode {
    None = "well",
    /** Answers 503; nothing is done. */
    Unavailable = "busy",
    /** Gives no answer. */
    Silent = "silent",
    /** Does what is asked and closes the connection without an answer. */
    LostResponse = "lossy",
}
