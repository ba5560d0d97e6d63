import type { OutcomeKind } from "./OutcomeKind.js";
import type { RefusalReason } from "./RefusalReason.js";

/** A refusal: no upstream ran the request. */
export interface NotRunOutcome {
    readonly kind: OutcomeKind.NotRun;
    readonly reason: RefusalReason;
    /** One sentence for the caller. */
    readonly detail: string;
    /** When the caller should ask again, in milliseconds from now; undefined if asking again is of no use. */
    readonly retryAfterMs: number | undefined;
    /** Other entry hosts to ask, as URLs. */
    readonly otherUrls?: readonly string[];
}
