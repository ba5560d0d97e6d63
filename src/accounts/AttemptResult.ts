import type { Outcome } from "../outcomes/index.js";

/** What is known of an attempt. */
export interface AttemptResult {
    /** Its outcome; unknown while it runs. */
    readonly outcome: Outcome;
    /** Whether the request was, or may have been, sent to an upstream. */
    readonly isSent: boolean;
}
