import type { ServerResponse } from "node:http";
import { CONNECTION_FIELDS, OutcomeKind } from "../outcomes/index.js";
import type { DoneOutcome } from "../outcomes/index.js";
import { writeStream } from "../utils/index.js";
import type { CallerAnswer } from "./CallerAnswer.js";
import { sendProblem } from "./sendProblem.js";

const PROXY_FIELDS = new Set(["x-outcome", "x-request-id"]);

/**
 * Sends the answer to a caller; closes the connection if the body fails, so that the caller can detect a truncated answer.
 * @param answer - The answer.
 * @param response - The response to write to.
 */
export async function sendCallerAnswer(answer: CallerAnswer, response: ServerResponse): Promise<void> {
    const outcome = answer.outcome;
    if (outcome.kind !== OutcomeKind.Done) {
        sendProblem(outcome, answer.requestId, response);
        return;
    }
    response.writeHead(outcome.status, getHeaders(outcome, answer.requestId));
    try {
        await writeStream(outcome.body, response, answer.signal);
    }
    catch {
        response.destroy();
    }
}

function getHeaders(outcome: DoneOutcome, requestId: string): Record<string, string | string[]> {
    const kept = Object.entries(outcome.headers).filter(([name]) =>
        !CONNECTION_FIELDS.has(name) && !PROXY_FIELDS.has(name)
    );
    return {
        ...Object.fromEntries(kept) as Record<string, string | string[]>,
        "x-outcome": outcome.kind,
        "x-request-id": requestId,
    };
}
