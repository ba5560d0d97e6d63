import type { Outcome } from "../outcomes/index.js";

/** The answer to a caller's request. */
export interface CallerAnswer {
    readonly requestId: string;
    readonly outcome: Outcome;
    /** Aborted when the answer may no longer be passed on, for example since the key was withdrawn. */
    readonly signal: AbortSignal;
    /** Tells that the answer has been passed on or given up. */
    readonly close: () => void;
}
