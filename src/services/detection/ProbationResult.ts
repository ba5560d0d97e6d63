/** The result of the trials so far. */
export enum ProbationResult {
    Pending = "open",
    Passed = "passed",
    Failed = "failed",
}
