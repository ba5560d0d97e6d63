import { OutcomeKind } from "../outcomes/index.js";
import type { NotRunOutcome, UnknownOutcome } from "../outcomes/index.js";
import { getRefusalStatus } from "./getRefusalStatus.js";
import type { ProblemDocument } from "./ProblemDocument.js";

const UNKNOWN_STATUS = 502;

/**
 * Creates the problem document of an outcome without an answer.
 * @param outcome - The outcome.
 * @param requestId - The request's id.
 */
export function createProblem(outcome: NotRunOutcome | UnknownOutcome, requestId: string): ProblemDocument {
    const isNotRun = outcome.kind === OutcomeKind.NotRun;
    return {
        type: `urn:fuchsiapath:${outcome.reason}`,
        title: isNotRun ? "The request was not run" : "It is not known whether the request ran",
        status: isNotRun ? getRefusalStatus(outcome.reason) : UNKNOWN_STATUS,
        detail: outcome.detail,
        outcome: outcome.kind,
        reason: outcome.reason,
        requestId,
        ...isNotRun && outcome.otherUrls !== undefined ? { otherUrls: outcome.otherUrls } : {},
    };
}
