/** Why it is not known whether a request ran. */
export enum UnknownReason {
    /** The connection to the upstream was lost after the request had been sent. */
    ConnectionLost = "connection-lost",
    /** The deadline passed after the request had been sent. */
    DeadlineExceeded = "deadline-exceeded",
    /** The entry host that holds the order's record is gone. */
    HostGone = "host-gone",
    /** An earlier request with the same key is still running. */
    StillRunning = "still-running",
}
