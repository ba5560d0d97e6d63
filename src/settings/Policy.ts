/** The policy for rate limiting and upstream health. */
export enum Policy {
    Standard = "standard",
    /** Round robin, ejection after consecutive failures and evenly divided rates; for comparison only. */
    Baseline = "baseline",
}
