/** The classes of response heads. */
export enum AnswerCheckKind {
    /** A response to the request. */
    Answered = "answered",
    /** A refusal under load: the upstream did not run the request and will not. */
    Shed = "shed",
    /** A response of another upstream at the address, which did not run the request. */
    Misdirected = "misdirected",
    /** A response to another request, or one that can't be matched to the request. */
    Mismatched = "foreign",
}
