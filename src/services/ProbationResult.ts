/** What the trial lookups have shown. */
export enum ProbationResult {
    Pending = "open",
    Passed = "passed",
    Failed = "failed",
}
