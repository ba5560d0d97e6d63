/** How a caller's request ended. */
export enum ResultKind {
    /** An upstream's answer came whole. */
    Done = "done",
    /** The system refused it as not run. */
    Refused = "refused",
    /** The system said that the outcome is unknown. */
    Unknown = "unknown",
    /** The caller got no usable answer. */
    Failed = "failed",
}
