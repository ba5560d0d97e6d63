import { OutcomeKind, UnknownReason } from "../outcomes/index.js";
import type { EncodedOutcome } from "../services/index.js";

/**
 * Whether an order's holder may run it again: it did not run, and no other process may run it.
 * @param recorded - The order's recorded outcome.
 */
export function isRestartable(recorded: EncodedOutcome): boolean {
    return recorded.kind === OutcomeKind.NotRun ||
        (recorded.kind === OutcomeKind.Unknown && recorded.reason === UnknownReason.StoreUnavailable);
}
