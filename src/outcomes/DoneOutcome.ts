import type { Readable } from "node:stream";
import type { HeaderFields } from "./HeaderFields.js";
import type { OutcomeKind } from "./OutcomeKind.js";

/** An upstream's answer; the body fails if the answer is cut. */
export interface DoneOutcome {
    readonly kind: OutcomeKind.Done;
    readonly status: number;
    readonly headers: HeaderFields;
    readonly body: Readable;
}
