/** Which policy decides on rates and upstream health. */
export enum Policy {
    Standard = "standard",
    /** Round robin, consecutive failures and evenly divided rates; for comparison only. */
    Baseline = "baseline",
}
