/** The classes of response heads. */
export enum AnswerCheckKind {
    /** A response to the request. */
    Answered = "answered",
    /** The upstream did not run the request and will not. */
    Shed = "shed",
    /** Another upstream has the address; it did not run the request. */
    Misdirected = "misdirected",
    /** A response to another request, or one that can't be matched to the request. */
    Mismatched = "foreign",
}
