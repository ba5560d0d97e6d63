import type { OutcomeKind } from "./OutcomeKind.js";
import type { RefusalReason } from "./RefusalReason.js";
import type { UnknownReason } from "./UnknownReason.js";

/** The outcome of a request that an upstream may have run. */
export interface UnknownOutcome {
    readonly kind: OutcomeKind.Unknown;
    /** A refusal reason if this request was not run, but an earlier one with the same key may have been. */
    readonly reason: UnknownReason | RefusalReason;
    /** One sentence for the caller. */
    readonly detail: string;
    /** When the caller may retry, in milliseconds from now. */
    readonly retryAfterMs?: number;
    /** URLs of other entry hosts to try. */
    readonly otherUrls?: readonly string[];
}
