import { Decision } from "../logging/index.js";
import { getAttempt } from "./getAttempt.js";
import { isFinal } from "./isFinal.js";
import type { LoggedDecision } from "./LoggedDecision.js";

/**
 * Finds the order of the decisions on a request from what must have come before what: lines of one host by their place in its log, and
 * lines of several hosts by the attempt that they are on. Clocks are not compared.
 * @param decisions - The decisions.
 * @param requestId - The request.
 */
export function findCausalOrder(decisions: readonly LoggedDecision[], requestId: string): readonly LoggedDecision[] {
    const rest = [...decisions];
    const sorted: LoggedDecision[] = [];
    while (rest.length > 0) {
        const next = rest.findIndex(item => !rest.some(other => other !== item && isBefore(other, item, requestId)));
        // Lines that contradict each other keep the order in which they were read.
        sorted.push(...rest.splice(Math.max(0, next), 1));
    }
    return sorted;
}

function isBefore(left: LoggedDecision, right: LoggedDecision, requestId: string): boolean {
    if (left.file === right.file) {
        return left.line < right.line;
    }
    const leftAttempt = getAttempt(left, requestId);
    const rightAttempt = getAttempt(right, requestId);
    if (isFinal(right)) {
        // What an upstream did may also end after the caller was told that nothing is known.
        return !isFinal(left) && (right.decision !== Decision.OutcomeUnknown || left.decision !== Decision.Dispatched);
    }
    if (leftAttempt === undefined || rightAttempt === undefined) {
        return false;
    }
    const isRetried = left.decision === Decision.Retried && right.decision !== Decision.Retried;
    return isRetried || right.decision !== Decision.Retried ? leftAttempt < rightAttempt : leftAttempt <= rightAttempt;
}
