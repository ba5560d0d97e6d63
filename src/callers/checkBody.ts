import { createUnknown, OutcomeKind, UnknownReason } from "../outcomes/index.js";
import type { Outcome } from "../outcomes/index.js";

/**
 * Replaces an outcome whose body failed while the answers to earlier requests of its connection were sent.
 * @param outcome - The outcome.
 */
export function checkBody(outcome: Outcome): Outcome {
    return outcome.kind === OutcomeKind.Done && outcome.body.destroyed && !outcome.body.readableEnded
        ? createUnknown(UnknownReason.AnswerCut, "The answer was cut before it could be sent.")
        : outcome;
}
