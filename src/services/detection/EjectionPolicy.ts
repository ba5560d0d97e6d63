/** How upstreams are selected, ejected and restored. */
export enum EjectionPolicy {
    /** Least loaded first; sequential tests, probation and ramp. */
    Sequential = "sequential",
    /** As sequential, but fewer trials decide, and an order may be a trial: for upstreams that fail intermittently. */
    Prompt = "prompt",
    /** Plain round robin with consecutive-failure ejection; for comparison only. */
    Baseline = "baseline",
}
