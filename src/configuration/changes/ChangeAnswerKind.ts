/** What became of a change. */
export enum ChangeAnswerKind {
    /** The store holds it and a majority of the members has installed it. */
    Accepted = "accepted",
    /** It has not taken effect and will not. */
    Refused = "refused",
    /** The store holds it, but a majority has not confirmed it yet; ask again with the same id. */
    Unconfirmed = "unconfirmed",
    /** The store gave no answer; ask again with the same id. */
    Unavailable = "unavailable",
}
