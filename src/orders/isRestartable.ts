import { OutcomeKind, UnknownReason } from "../outcomes/index.js";
import type { EncodedOutcome } from "../services/index.js";

/**
 * Whether the process that holds an order may run it again: it did not run, and nobody else may run it.
 * @param kept - The order's outcome.
 */
export function isRestartable(kept: EncodedOutcome): boolean {
    return kept.kind === OutcomeKind.NotRun ||
        (kept.kind === OutcomeKind.Unknown && kept.reason === UnknownReason.StoreUnavailable);
}
