import { createNotRun, RefusalReason } from "../outcomes/index.js";
import type { Outcome } from "../outcomes/index.js";
import { decodeOutcome, RequestState } from "../services/index.js";
import type { FindOutcomeResult } from "../services/index.js";

const DEFAULT_RETRY_AFTER_MS = 1_000;

/**
 * Gets the outcome of an order from what its service host has found of it.
 * @param result - What the host has found.
 * @param fallback - The outcome if the host can't tell.
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
