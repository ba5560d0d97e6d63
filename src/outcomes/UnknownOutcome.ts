import type { OutcomeKind } from "./OutcomeKind.js";
import type { UnknownReason } from "./UnknownReason.js";

/** An upstream may have run the request. */
export interface UnknownOutcome {
    readonly kind: OutcomeKind.Unknown;
    readonly reason: UnknownReason;
    /** One sentence for the caller. */
    readonly detail: string;
}
