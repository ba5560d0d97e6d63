import { FuchsiapathError } from "../errors/index.js";
import { createNotRun } from "../outcomes/index.js";
import type { NotRunOutcome, RefusalReason } from "../outcomes/index.js";

/** A check of a caller's request has refused it. */
export class RefusalError extends FuchsiapathError {
    readonly outcome: NotRunOutcome;

    /**
     * @param reason - Why the request is refused.
     * @param detail - One sentence for the caller.
     * @param retryAfterMs - When to ask again, in milliseconds from now; undefined if asking again is of no use.
     */
    constructor(reason: RefusalReason, detail: string, retryAfterMs?: number) {
        super(detail);
        this.outcome = createNotRun(reason, detail, retryAfterMs);
    }
}
