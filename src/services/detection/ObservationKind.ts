/** The result of an attempt as far as it concerns the upstream's health. */
export enum ObservationKind {
    /** A complete answer below status 500. */
    Success = "success",
    /** A status of 500 or above, a cut answer or a timeout. */
    Failure = "failure",
    /** The connection was lost while the request ran. */
    Lost = "lost",
    /** The connection could not be opened. */
    ConnectFailed = "connect-failed",
    /** The upstream shed the request without running it. */
    Shed = "shed",
    /** The caller disconnected, or the deadline was too short to count as a failure. */
    Cancelled = "cancelled",
}
