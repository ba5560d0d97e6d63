import type { Outcome } from "../outcomes/index.js";
import type { EncodedOutcome } from "../services/index.js";

/** An outcome in two forms: one to keep on record, and one for the caller. */
export interface BufferedOutcome {
    readonly kept: EncodedOutcome;
    /** The outcome for the caller, with the whole body. */
    readonly outcome: Outcome;
}
