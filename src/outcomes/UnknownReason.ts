/** Why it is not known whether a request ran. */
export enum UnknownReason {
    /** The connection to the upstream was lost after the request had been sent. */
    ConnectionLost = "connection-lost",
    /** The upstream's answer broke off before its end. */
    AnswerCut = "answer-cut",
    /** The deadline passed after the request had been sent. */
    DeadlineExceeded = "deadline-exceeded",
    /** The entry host that holds the order's record is gone. */
    HostGone = "host-gone",
    /** An earlier request with the same key is still running. */
    StillRunning = "still-running",
    /** The record of the key may have lapsed, so an earlier request may have run. */
    KeyExpired = "key-expired",
    /** The store can't say whether an earlier request with this key ran; this one did not. */
    StoreUnavailable = "store-unavailable",
    /** No order with this key is known here; one may be on its way. */
    NotFound = "not-found",
}
