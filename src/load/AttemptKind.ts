/** How one attempt of a caller ended. */
export enum AttemptKind {
    /** The head of an answer came. */
    Answered = "answered",
    /** The connection could not be opened; nothing was sent. */
    NotOpened = "not-opened",
    /** The connection broke or the time ran out after the request was sent. */
    Lost = "lost",
}
