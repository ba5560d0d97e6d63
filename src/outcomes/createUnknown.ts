import { OutcomeKind } from "./OutcomeKind.js";
import type { UnknownOutcome } from "./UnknownOutcome.js";
import type { UnknownReason } from "./UnknownReason.js";

/**
 * Creates an unknown outcome.
 * @param reason - Why the outcome is unknown.
 * @param detail - One sentence for the caller.
 */
export function createUnknown(reason: UnknownReason, detail: string): UnknownOutcome {
    return { kind: OutcomeKind.Unknown, reason, detail };
}
