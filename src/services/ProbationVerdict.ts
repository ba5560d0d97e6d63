/** What the trial lookups have shown. */
export enum ProbationVerdict {
    Open = "open",
    Passed = "passed",
    Failed = "failed",
}
