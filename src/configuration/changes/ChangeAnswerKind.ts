/** The outcome of a change. */
export enum ChangeAnswerKind {
    /** The store holds the change and a majority of the members has installed it. */
    Accepted = "accepted",
    /** The change was not applied and will not be. */
    Refused = "refused",
    /** The store holds the change, but a majority has not confirmed it yet; to be sent again with the same id. */
    Unconfirmed = "unconfirmed",
    /** The store did not answer; to be sent again with the same id. */
    Unavailable = "unavailable",
}
