/** What is known of a request once the system has finished with it. */
export enum OutcomeKind {
    /** An upstream ran it and answered. */
    Done = "done",
    /** No upstream ran it. */
    NotRun = "not-run",
    /** An upstream may have run it. */
    Unknown = "unknown",
}
