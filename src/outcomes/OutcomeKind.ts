/** Whether a finished request was run. */
export enum OutcomeKind {
    /** An upstream ran it and answered. */
    Done = "done",
    /** No upstream ran it. */
    NotRun = "not-run",
    /** An upstream may have run it. */
    Unknown = "unknown",
}
