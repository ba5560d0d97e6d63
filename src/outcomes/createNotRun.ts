import type { NotRunOutcome } from "./NotRunOutcome.js";
import { OutcomeKind } from "./OutcomeKind.js";
import type { RefusalReason } from "./RefusalReason.js";

/**
 * Creates a refusal.
 * @param reason - Why the request was not run.
 * @param detail - One sentence for the caller.
 * @param retryAfterMs - When the caller may retry, in milliseconds from now.
 */
export function createNotRun(reason: RefusalReason, detail: string, retryAfterMs?: number): NotRunOutcome {
    return { kind: OutcomeKind.NotRun, reason, detail, retryAfterMs };
}
