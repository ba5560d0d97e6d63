import type { DoneOutcome } from "./DoneOutcome.js";
import type { NotRunOutcome } from "./NotRunOutcome.js";
import type { UnknownOutcome } from "./UnknownOutcome.js";

/** The outcome of a request. */
export type Outcome = DoneOutcome | NotRunOutcome | UnknownOutcome;
