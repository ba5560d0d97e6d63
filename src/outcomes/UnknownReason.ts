/** Why a request's outcome is unknown. */
export enum UnknownReason {
    /** The connection to the upstream was lost after the request had been sent. */
    ConnectionLost = "connection-lost",
    /** The upstream's answer was truncated. */
    AnswerCut = "answer-cut",
    /** The upstream sent bytes that are no answer. */
    InvalidAnswer = "invalid-answer",
    /** The upstream answered with a status that means "not run", but without the proof that its protocol asks for. */
    UnprovenRefusal = "unproven-refusal",
    /** The deadline passed after the request had been sent. */
    DeadlineExceeded = "deadline-exceeded",
    /** The entry host that holds the order's record is gone. */
    HostGone = "host-gone",
    /** An earlier request with the same key is still running. */
    StillRunning = "still-running",
    /** The record of the key may have expired, so an earlier request may have run. */
    KeyExpired = "key-expired",
    /** The store was unavailable, so an earlier request with this key may have run; this one did not. */
    StoreUnavailable = "store-unavailable",
    /** No order with this key is on record; one may still arrive. */
    NotFound = "not-found",
}
