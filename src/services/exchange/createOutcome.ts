import { UnexpectedVariantError } from "../../errors/index.js";
import type { Outcome } from "../../outcomes/index.js";
import { createNotRun, createUnknown, OutcomeKind, RefusalReason, UnknownReason } from "../../outcomes/index.js";
import type { UpstreamAnswer } from "./UpstreamAnswer.js";
import { UpstreamAnswerKind } from "./UpstreamAnswerKind.js";

const DEFAULT_RETRY_AFTER_MS = 200;

/**
 * Creates the outcome of a request from the result of its attempt.
 * @param answer - The result of the attempt.
 */
export function createOutcome(answer: UpstreamAnswer): Outcome {
    switch (answer.kind) {
        case UpstreamAnswerKind.Answered:
            return { kind: OutcomeKind.Done, status: answer.status, headers: answer.headers, body: answer.body };
        case UpstreamAnswerKind.ConnectFailed:
            return createNotRun(RefusalReason.NoUpstream, `No connection: ${answer.detail}`, DEFAULT_RETRY_AFTER_MS);
        case UpstreamAnswerKind.NotSendable:
            return createNotRun(RefusalReason.NotSendable, `The request can't be sent: ${answer.detail}.`);
        case UpstreamAnswerKind.Shed:
            return createNotRun(
                RefusalReason.Overloaded,
                "The upstream shed the request.",
                answer.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS,
            );
        case UpstreamAnswerKind.TimedOut:
            return createUnknown(UnknownReason.DeadlineExceeded, "The upstream did not answer in time.");
        case UpstreamAnswerKind.ConnectionLost:
            return createUnknown(UnknownReason.ConnectionLost, "The connection to the upstream was lost.");
        case UpstreamAnswerKind.Invalid:
            return createUnknown(
                UnknownReason.InvalidAnswer,
                `The upstream sent what is no answer: ${answer.detail}.`,
            );
        case UpstreamAnswerKind.Superseded:
        case UpstreamAnswerKind.Aborted:
            return createUnknown(UnknownReason.StillRunning, "The request was given up while it ran.");
        default:
            throw new UnexpectedVariantError(answer);
    }
}
