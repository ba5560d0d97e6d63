import type { UpstreamAnswer } from "./UpstreamAnswer.js";

/** What came of an attempt, with the time that it took. */
export interface UpstreamAttempt {
    readonly answer: UpstreamAnswer;
    /** Time to the first byte, or time waited for it, in milliseconds. */
    readonly latencyMs: number;
}
