import type { UpstreamAnswer } from "./UpstreamAnswer.js";

/** The result of an attempt and its latency. */
export interface UpstreamAttempt {
    readonly answer: UpstreamAnswer;
    /** Time to the first byte, or time waited if there was none, in milliseconds. */
    readonly latencyMs: number;
}
