import type { Outcome } from "./Outcome.js";
import type { OutcomeHead } from "./OutcomeHead.js";
import { OutcomeKind } from "./OutcomeKind.js";

/**
 * Gets an outcome without its body.
 * @param outcome - The outcome.
 */
export function getOutcomeHead(outcome: Outcome): OutcomeHead {
    if (outcome.kind !== OutcomeKind.Done) {
        return outcome;
    }
    const { kind, status, headers } = outcome;
    return { kind, status, headers };
}
