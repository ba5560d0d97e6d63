import { Decision } from "../logging/index.js";
import { getAttemptNumber } from "./getAttemptNumber.js";
import { isFinal } from "./isFinal.js";
import type { LoggedDecision } from "./LoggedDecision.js";

/**
 * Sorts the decisions on a request causally: those in one log file by line number, those of different hosts by the number
 * of the attempt. Timestamps are not used, because the hosts' clocks may differ.
 * @param decisions - The decisions.
 * @param requestId - The request's id.
 */
export function findCausalOrder(decisions: readonly LoggedDecision[], requestId: string): readonly LoggedDecision[] {
    const remaining = [...decisions];
    const sorted: LoggedDecision[] = [];
    while (remaining.length > 0) {
        const next = remaining.findIndex(item =>
            !remaining.some(other => other !== item && isBefore(other, item, requestId))
        );
        // Decisions whose constraints contradict each other keep the order in which they were read.
        sorted.push(...remaining.splice(Math.max(0, next), 1));
    }
    return sorted;
}

function isBefore(left: LoggedDecision, right: LoggedDecision, requestId: string): boolean {
    if (left.file === right.file) {
        return left.line < right.line;
    }
    const leftAttempt = getAttemptNumber(left, requestId);
    const rightAttempt = getAttemptNumber(right, requestId);
    if (isFinal(right)) {
        // A dispatch may also end after the caller was told that the outcome is unknown.
        return !isFinal(left) && (right.decision !== Decision.OutcomeUnknown || left.decision !== Decision.Dispatched);
    }
    if (leftAttempt === undefined || rightAttempt === undefined) {
        return false;
    }
    const isRetried = left.decision === Decision.Retried && right.decision !== Decision.Retried;
    return isRetried || right.decision !== Decision.Retried ? leftAttempt < rightAttempt : leftAttempt <= rightAttempt;
}
