/** How an attempt at an upstream ended. */
export enum UpstreamAnswerKind {
    /** A response head was received. */
    Answered = "answered",
    /** The connection could not be opened; nothing was sent. */
    ConnectFailed = "connect-failed",
    /** The request can't be written; nothing was sent, and it says nothing about the upstream. */
    NotSendable = "not-sendable",
    /** The upstream refused the request under load and did not run it. */
    Shed = "shed",
    /** No first byte was received within the limit. */
    TimedOut = "timed-out",
    /** The connection was lost after the request was sent. */
    ConnectionLost = "connection-lost",
    /** The upstream sent bytes that are no response in HTTP; the request may have run. */
    Invalid = "invalid-answer",
    /** The caller disconnected. */
    Aborted = "aborted",
    /** Another attempt of the request, which ran beside this one, has answered. */
    Superseded = "superseded",
}
