/** Faults that the mock store simulates. */
export enum StoreFaultMode {
    None = "well",
    /** Answers 503; nothing is done. */
    Unavailable = "busy",
    /** Gives no answer. */
    NoResponse = "silent",
    /** Runs the call and closes the connection without a response. */
    LostResponse = "lossy",
}
