/** How an account's rate is kept over the fleet. */
export enum RatePolicy {
    /** Shares on the account hosts, which lend each other tokens. */
    Shared = "shared",
    /** Divided evenly over all hosts without lending; for comparison only. */
    Baseline = "baseline",
}
