import type { DoneOutcome } from "./DoneOutcome.js";
import type { NotRunOutcome } from "./NotRunOutcome.js";
import type { UnknownOutcome } from "./UnknownOutcome.js";

/** An outcome without its body, as sent between entry hosts. */
export type OutcomeHead = Omit<DoneOutcome, "body"> | NotRunOutcome | UnknownOutcome;
