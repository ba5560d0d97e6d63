import { Readable } from "node:stream";
import type { DoneOutcome, Outcome } from "../outcomes/index.js";
import { OutcomeKind } from "../outcomes/index.js";
import type { EncodedOutcome } from "../services/index.js";
import { decodeOutcome } from "../services/index.js";

const BAD_GATEWAY_STATUS = 502;
const ANSWER_NOT_KEPT = "answer-not-kept";

/**
 * Decodes a stored outcome for a resent order. If the answer was truncated or too large to store, a problem document reports that
 * the order ran, instead of a partial answer.
 * @param stored - The stored outcome.
 */
export function decodeStoredOutcome(stored: EncodedOutcome): Outcome {
    if (stored.kind !== OutcomeKind.Done || stored.body !== undefined) {
        return decodeOutcome(stored);
    }
    return createNotStoredAnswer(stored.status);
}

function createNotStoredAnswer(upstreamStatus: number): DoneOutcome {
    const problem = {
        type: `urn:fuchsiapath:${ANSWER_NOT_KEPT}`,
        title: "The order ran, but its answer is not available",
        status: BAD_GATEWAY_STATUS,
        detail: `The upstream answered with status ${upstreamStatus}; the answer was cut or is too large to be kept.`,
        outcome: OutcomeKind.Done,
        reason: ANSWER_NOT_KEPT,
        upstreamStatus,
    };
    const body = Buffer.from(JSON.stringify(problem));
    const headers = { "content-type": "application/problem+json", "content-length": String(body.length) };
    return { kind: OutcomeKind.Done, status: BAD_GATEWAY_STATUS, headers, body: Readable.from([body]) };
}
