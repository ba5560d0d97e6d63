import type { OutcomeKind } from "./OutcomeKind.js";
import type { RefusalReason } from "./RefusalReason.js";

/** A refusal: no upstream ran the request. */
export interface NotRunOutcome {
    readonly kind: OutcomeKind.NotRun;
    readonly reason: RefusalReason;
    /** One sentence for the caller. */
    readonly detail: string;
    /** When the caller may retry, in milliseconds from now; undefined if a retry can't succeed. */
    readonly retryAfterMs: number | undefined;
    /** URLs of other entry hosts to try. */
    readonly otherUrls?: readonly string[];
}
