import type { Outcome } from "../outcomes/index.js";
import type { KeptOutcome } from "../services/index.js";

/** An outcome in two forms: one to keep on record, and one for the caller. */
export interface BufferedOutcome {
    readonly kept: KeptOutcome;
    /** The outcome for the caller, with the whole body. */
    readonly outcome: Outcome;
}
