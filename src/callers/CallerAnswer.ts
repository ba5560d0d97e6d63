import type { Outcome } from "../outcomes/index.js";

/** The answer to a caller's request. */
export interface CallerAnswer {
    readonly requestId: string;
    readonly outcome: Outcome;
    /** Aborted when the answer must no longer be forwarded, for example because the key was withdrawn. */
    readonly signal: AbortSignal;
    /** Releases the request after its answer has been forwarded or abandoned. */
    readonly close: () => void;
}
