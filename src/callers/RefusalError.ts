import { FuchsiapathError } from "../errors/index.js";
import { createNotRun } from "../outcomes/index.js";
import type { NotRunOutcome, RefusalReason } from "../outcomes/index.js";

/** Thrown when a check refuses a caller's request. */
export class RefusalError extends FuchsiapathError {
    readonly outcome: NotRunOutcome;

    /**
     * @param reason - Why the request is refused.
     * @param detail - One sentence for the caller.
     * @param retryAfterMs - When to retry, in milliseconds from now; undefined if a retry would be refused again.
     */
    constructor(reason: RefusalReason, detail: string, retryAfterMs?: number) {
        super(detail);
        this.outcome = createNotRun(reason, detail, retryAfterMs);
    }
}
