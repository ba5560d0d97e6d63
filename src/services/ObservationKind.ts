/** What an attempt says about an upstream's health. */
export enum ObservationKind {
    /** A whole answer below status 500. */
    Success = "success",
    /** A status of 500 or above, a cut answer or a timeout. */
    Failure = "failure",
    /** The connection broke while the request ran. */
    Lost = "lost",
    /** The connection could not be opened. */
    ConnectFailed = "connect-failed",
    /** The upstream refused without running it. */
    Shed = "shed",
    /** The caller gave up. */
    Cancelled = "cancelled",
}
