/** Faults that the mock store simulates. */
export enum StoreFaultMode {
    None = "well",
    /** Responds with status 503 without running the call. */
    Unavailable = "busy",
    /** Never responds. */
    NoResponse = "silent",
    /** Runs the call and closes the connection without a response. */
    LostResponse = "lossy",
}
