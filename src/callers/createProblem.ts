import { OutcomeKind, RefusalReason } from "../outcomes/index.js";
import type { NotRunOutcome, UnknownOutcome } from "../outcomes/index.js";
import { getRefusalStatus } from "./getRefusalStatus.js";
import type { ProblemDocument } from "./ProblemDocument.js";

const UNKNOWN_STATUS = 502;
const REFUSAL_REASONS: ReadonlySet<string> = new Set(Object.values(RefusalReason));

/**
 * Creates the problem document of a request that was not run or has an unknown outcome.
 * @param outcome - The outcome.
 * @param requestId - The request's id.
 */
export function createProblem(outcome: NotRunOutcome | UnknownOutcome, requestId: string): ProblemDocument {
    const isNotRun = outcome.kind === OutcomeKind.NotRun;
    return {
        type: `urn:fuchsiapath:${outcome.reason}`,
        title: isNotRun ? "The request was not run" : "It is not known whether the request ran",
        status: isRefusal(outcome.reason) ? getRefusalStatus(outcome.reason) : UNKNOWN_STATUS,
        detail: outcome.detail,
        outcome: outcome.kind,
        reason: outcome.reason,
        requestId,
        ...outcome.otherUrls !== undefined ? { otherUrls: outcome.otherUrls } : {},
    };
}

function isRefusal(reason: string): reason is RefusalReason {
    return REFUSAL_REASONS.has(reason);
}
