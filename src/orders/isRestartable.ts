import { OutcomeKind, UnknownReason } from "../outcomes/index.js";
import type { EncodedOutcome } from "../services/index.js";

/**
 * Whether an order's holder may run it again: it did not run, and no other process may run it.
 * @param kept - The order's recorded outcome.
 */
export function isRestartable(kept: EncodedOutcome): boolean {
    return kept.kind === OutcomeKind.NotRun ||
        (kept.kind === OutcomeKind.Unknown && kept.reason === UnknownReason.StoreUnavailable);
}
