/** What callers' requests hold memory for. */
export enum MemoryKind {
    /** Bodies of requests that callers send to this host. */
    Body = "body",
    /** Bodies of requests that other hosts forward to this host. */
    ForwardedBody = "forwarded-body",
    /** Requests that were read ahead on their connections and wait for earlier ones. */
    QueuedRequest = "queued-request",
    /** Answers that wait for those to earlier requests of their connections. */
    AnswerAhead = "answer-ahead",
    /** Answers that are being sent and that their readers don't take. */
    UnreadAnswer = "unread-answer",
}
