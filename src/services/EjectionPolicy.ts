/** How upstreams are chosen and judged. */
export enum EjectionPolicy {
    /** Least loaded first; sequential tests, probation and ramp. */
    Sequential = "sequential",
    /** Plain round robin with consecutive-failure ejection; for comparison only. */
    Baseline = "baseline",
}
