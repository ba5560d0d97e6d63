import type { OutcomeKind } from "./OutcomeKind.js";
import type { RefusalReason } from "./RefusalReason.js";
import type { UnknownReason } from "./UnknownReason.js";

/** An upstream may have run the request. */
export interface UnknownOutcome {
    readonly kind: OutcomeKind.Unknown;
    /** A refusal's reason if this request did not run, but an earlier one with its key may have. */
    readonly reason: UnknownReason | RefusalReason;
    /** One sentence for the caller. */
    readonly detail: string;
    /** When the caller should ask again, in milliseconds from now. */
    readonly retryAfterMs?: number;
    /** Other entry hosts to ask, as URLs. */
    readonly otherUrls?: readonly string[];
}
