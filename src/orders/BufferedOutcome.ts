import type { Outcome } from "../outcomes/index.js";
import type { EncodedOutcome } from "../services/index.js";

/** An outcome whose body has been read as far as it can be kept. */
export interface BufferedOutcome {
    readonly kept: EncodedOutcome;
    /** For the caller, with the whole body. */
    readonly outcome: Outcome;
}
