import type { FinalStatus, HeaderFields, Outcome } from "../../outcomes/index.js";
import { OutcomeKind } from "../../outcomes/index.js";
import type { EncodedOutcome } from "./EncodedOutcome.js";

/**
 * Encodes an outcome for storage.
 * @param outcome - The outcome.
 * @param body - The whole response body; undefined if it was too large to store.
 */
export function encodeOutcome(outcome: Outcome, body: Buffer | undefined): EncodedOutcome {
    switch (outcome.kind) {
        case OutcomeKind.Done:
            return encodeAnswer(outcome.status, outcome.headers, body);
        case OutcomeKind.NotRun: {
            const { kind, reason, detail, retryAfterMs } = outcome;
            return { kind, reason, detail, retryAfterMs };
        }
        case OutcomeKind.Unknown:
            return { kind: outcome.kind, reason: outcome.reason, detail: outcome.detail };
    }
}

function encodeAnswer(status: FinalStatus, headers: HeaderFields, body: Buffer | undefined): EncodedOutcome {
    return { kind: OutcomeKind.Done, status, headers, body: body?.toString("base64") };
}
