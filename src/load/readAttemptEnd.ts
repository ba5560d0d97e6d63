import { UnexpectedVariantError } from "../errors/index.js";
import { OutcomeKind, RefusalReason, UnknownReason } from "../outcomes/index.js";
import type { Attempt } from "./Attempt.js";
import type { AttemptEnd } from "./AttemptEnd.js";
import { AttemptEndKind } from "./AttemptEndKind.js";
import { AttemptKind } from "./AttemptKind.js";
import { BodyCheck } from "./BodyCheck.js";
import { checkAnswerBody } from "./checkAnswerBody.js";
import { FailureReason } from "./FailureReason.js";
import { readProblem } from "./readProblem.js";
import { RequestKind } from "./RequestKind.js";
import { ResultKind } from "./ResultKind.js";

const HOST_REASONS: readonly string[] = [
    RefusalReason.HostNotCurrent,
    RefusalReason.HostStopping,
    RefusalReason.HostCutOff,
    RefusalReason.HostUnreachable,
];

const PROBLEM_TYPE = "application/problem+json";

type AnsweredAttempt = Extract<Attempt, { readonly kind: AttemptKind.Answered; }>;

/**
 * Reads an attempt's answer to its end and says what it means for the request.
 * @param attempt - The attempt.
 * @param kind - The kind of request.
 * @param path - Path with query of the request.
 */
export async function readAttemptEnd(attempt: Attempt, kind: RequestKind, path: string): Promise<AttemptEnd> {
    switch (attempt.kind) {
        case AttemptKind.NotOpened:
            return createFailure(AttemptEndKind.Elsewhere, FailureReason.NotOpened);
        case AttemptKind.Lost:
            return createFailure(AttemptEndKind.Again, FailureReason.Lost);
        case AttemptKind.Answered:
            return await readAnswer(attempt, kind, path);
        default:
            throw new UnexpectedVariantError(attempt);
    }
}

async function readAnswer(attempt: AnsweredAttempt, kind: RequestKind, path: string): Promise<AttemptEnd> {
    const { status } = attempt;
    switch (attempt.headers["x-outcome"]) {
        case OutcomeKind.Done:
            return await readDone(attempt, path);
        case OutcomeKind.NotRun: {
            const { reason } = await readProblem(status, attempt.body);
            const isHostReason = HOST_REASONS.includes(reason);
            const endKind = isHostReason ? AttemptEndKind.Elsewhere : AttemptEndKind.Final;
            const requestId = attempt.headers["x-request-id"]?.toString();
            return { kind: endKind, result: ResultKind.Refused, reason, status, requestId };
        }
        case OutcomeKind.Unknown: {
            const { reason } = await readProblem(status, attempt.body);
            const endKind = getUnknownEnd(kind, reason);
            return { kind: endKind, result: ResultKind.Unknown, reason, status };
        }
        default:
            attempt.body.destroy();
            return { ...createFailure(AttemptEndKind.Final, FailureReason.NoOutcome), status };
    }
}

function getUnknownEnd(kind: RequestKind, reason: string): AttemptEndKind {
    if (HOST_REASONS.includes(reason)) {
        return AttemptEndKind.Elsewhere;
    }
    const isOpen = kind !== RequestKind.Order || reason === UnknownReason.StillRunning;
    return isOpen ? AttemptEndKind.Again : AttemptEndKind.Final;
}

async function readDone(attempt: AnsweredAttempt, path: string): Promise<AttemptEnd> {
    const { status } = attempt;
    if (attempt.headers["content-type"] === PROBLEM_TYPE) {
        const { reason } = await readProblem(status, attempt.body);
        return { kind: AttemptEndKind.Final, result: ResultKind.Done, status, reason };
    }
    const check = await checkAnswerBody(attempt.body, path);
    switch (check) {
        case BodyCheck.Cut:
            return { ...createFailure(AttemptEndKind.Again, FailureReason.Cut), status };
        case BodyCheck.Wrong:
        case BodyCheck.Right: {
            const isWrong = check === BodyCheck.Wrong;
            return { kind: AttemptEndKind.Final, result: ResultKind.Done, status, isWrong };
        }
        default:
            throw new UnexpectedVariantError(check);
    }
}

function createFailure(kind: AttemptEndKind, reason: FailureReason): AttemptEnd {
    return { kind, result: ResultKind.Failed, reason };
}
