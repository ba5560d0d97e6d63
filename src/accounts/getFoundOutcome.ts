import { createNotRun, RefusalReason } from "../outcomes/index.js";
import type { Outcome } from "../outcomes/index.js";
import { decodeOutcome, RequestState } from "../services/index.js";
import type { FindOutcomeResult } from "../services/index.js";

const DEFAULT_RETRY_AFTER_MS = 1_000;

/**
 * Gets the outcome of an order from its service host's answer.
 * @param result - The service host's answer.
 * @param fallback - The outcome if the host doesn't know it.
 */
export function getFoundOutcome(result: FindOutcomeResult, fallback: Outcome): Outcome {
    switch (result.state) {
        case RequestState.Finished:
            return decodeOutcome(result.outcome);
        case RequestState.NeverSeen: {
            const detail = "The request did not reach the service host.";
            return createNotRun(RefusalReason.HostUnreachable, detail, DEFAULT_RETRY_AFTER_MS);
        }
        case RequestState.Running:
        case RequestState.Forgotten:
            return fallback;
    }
}
