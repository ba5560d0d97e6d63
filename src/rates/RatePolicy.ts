/** How an account's rate is enforced over the fleet. */
export enum RatePolicy {
    /** Each account host holds a share, and account hosts lend each other tokens. */
    Shared = "shared",
    /** Divided evenly over all hosts without lending; for comparison only. */
    Baseline = "baseline",
}
