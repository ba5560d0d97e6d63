import { closeBody, createUnknown, OutcomeKind, UnknownReason } from "../outcomes/index.js";
import type { Outcome } from "../outcomes/index.js";

/**
 * Checks that an outcome does not tell the caller that the request was not run, unless that is proven. A proven refusal of an upstream is a
 * `NotRunOutcome`, so the status of a `DoneOutcome` proves nothing.
 * @param outcome - The outcome of a request that is not idempotent.
 * @param notRunStatuses - The statuses by which callers are told that a request was not run.
 */
export function checkRefusalProof(outcome: Outcome, notRunStatuses: ReadonlySet<number>): Outcome {
    if (outcome.kind !== OutcomeKind.Done || !notRunStatuses.has(outcome.status)) {
        return outcome;
    }
    closeBody(outcome);
    return createUnknown(
        UnknownReason.UnprovenRefusal,
        `The upstream answered with status ${outcome.status} but did not state that the request was not run.`,
    );
}
