import type { ServerResponse } from "node:http";
import type { NotRunOutcome, UnknownOutcome } from "../outcomes/index.js";
import { createProblem } from "./createProblem.js";

const MS_PER_SECOND = 1000;

/**
 * Sends a problem document to a caller.
 * @param outcome - The outcome.
 * @param requestId - The request's id.
 * @param response - The response to write to.
 */
export function sendProblem(
    outcome: NotRunOutcome | UnknownOutcome,
    requestId: string,
    response: ServerResponse,
): void {
    if (response.headersSent || response.destroyed) {
        return;
    }
    const problem = createProblem(outcome, requestId);
    const body = JSON.stringify(problem);
    response.writeHead(problem.status, {
        "content-type": "application/problem+json",
        "content-length": Buffer.byteLength(body),
        "x-outcome": outcome.kind,
        "x-request-id": requestId,
        ...getRetryAfter(outcome),
    });
    response.end(body);
}

function getRetryAfter(outcome: NotRunOutcome | UnknownOutcome): Record<string, string> {
    if (outcome.retryAfterMs === undefined) {
        return {};
    }
    const seconds = Math.max(1, Math.ceil(outcome.retryAfterMs / MS_PER_SECOND));
    return { "retry-after": String(seconds), "x-retry-after-ms": String(Math.ceil(outcome.retryAfterMs)) };
}
