/** How an attempt at an upstream ended. */
export enum UpstreamAnswerKind {
    /** Headers of an answer came. */
    Answered = "answered",
    /** The connection could not be opened; nothing was sent. */
    ConnectFailed = "connect-failed",
    /** The upstream said that it did not run the request. */
    Shed = "shed",
    /** No first byte came within the limit. */
    TimedOut = "timed-out",
    /** The connection broke after the request was sent. */
    ConnectionLost = "connection-lost",
    /** The caller left. */
    Aborted = "aborted",
}
