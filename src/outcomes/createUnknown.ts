import { OutcomeKind } from "./OutcomeKind.js";
import type { UnknownOutcome } from "./UnknownOutcome.js";
import type { UnknownReason } from "./UnknownReason.js";

/**
 * Creates an outcome that is not known.
 * @param reason - Why it is not known.
 * @param detail - One sentence for the caller.
 */
export function createUnknown(reason: UnknownReason, detail: string): UnknownOutcome {
    return { kind: OutcomeKind.Unknown, reason, detail };
}
