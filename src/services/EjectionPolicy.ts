/** How upstreams are chosen and judged. */
export enum EjectionPolicy {
    /** Least loaded first; sequential tests, probation and ramp. */
    Sequential = "sequential",
    /** As sequential, but a single trial decides, and an order may be the trial: for upstreams that fail in spells. */
    Prompt = "prompt",
    /** Plain round robin with consecutive-failure ejection; for comparison only. */
    Baseline = "baseline",
}
