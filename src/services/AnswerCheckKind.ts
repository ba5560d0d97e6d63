/** What the head of an upstream's answer stands for. */
export enum AnswerCheckKind {
    /** It answers the request. */
    Answered = "answered",
    /** The upstream did not run the request and will not. */
    Shed = "shed",
    /** Another upstream has the address; it did not run the request. */
    Misdirected = "misdirected",
    /** It belongs to another request, or can't be told from one that does. */
    Mismatched = "foreign",
}
