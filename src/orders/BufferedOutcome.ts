import type { Outcome } from "../outcomes/index.js";
import type { EncodedOutcome } from "../services/index.js";

/** An outcome in two forms: one to store, and one for the caller. */
export interface BufferedOutcome {
    readonly stored: EncodedOutcome;
    /** The outcome for the caller, with the whole body. */
    readonly outcome: Outcome;
}
