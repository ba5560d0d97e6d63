/** What a check of an answer's body found. */
export enum BodyCheck {
    /** Whole and the request's own. */
    Right = "right",
    /** It belongs to another request. */
    Wrong = "wrong",
    /** It ended early. */
    Cut = "cut",
}
