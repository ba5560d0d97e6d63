import type { DoneOutcome } from "./DoneOutcome.js";
import type { NotRunOutcome } from "./NotRunOutcome.js";
import type { UnknownOutcome } from "./UnknownOutcome.js";

/** An outcome without its body, as it goes from one entry host to another. */
export type OutcomeHead = Omit<DoneOutcome, "body"> | NotRunOutcome | UnknownOutcome;
