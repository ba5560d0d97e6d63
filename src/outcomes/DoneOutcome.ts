import type { Readable } from "node:stream";
import type { FinalStatus } from "./FinalStatus.js";
import type { HeaderFields } from "./HeaderFields.js";
import type { OutcomeKind } from "./OutcomeKind.js";

/** An upstream's answer. The body emits an error if the answer is truncated. */
export interface DoneOutcome {
    readonly kind: OutcomeKind.Done;
    readonly status: FinalStatus;
    readonly headers: HeaderFields;
    readonly body: Readable;
}
