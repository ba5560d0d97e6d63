import { UnexpectedVariantError } from "../errors/index.js";
import type { NotRunOutcome, Outcome } from "../outcomes/index.js";
import { OutcomeKind, RefusalReason, UnknownReason } from "../outcomes/index.js";

const RETRIABLE_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 500, 502, 503, 504]);

const RETRIABLE_REASONS: ReadonlySet<RefusalReason> = new Set([
    RefusalReason.Overloaded,
    RefusalReason.NoUpstream,
    RefusalReason.HostNotCurrent,
    RefusalReason.HostStopping,
    RefusalReason.HostCutOff,
    RefusalReason.HostUnreachable,
]);

/**
 * Whether a request may be retried after an attempt with this outcome.
 * @param outcome - The attempt's outcome.
 * @param isIdempotent - Whether the request may run more than once.
 */
export function isRetriable(outcome: Outcome, isIdempotent: boolean): boolean {
    switch (outcome.kind) {
        case OutcomeKind.Done:
            return isIdempotent && RETRIABLE_STATUSES.has(outcome.status);
        case OutcomeKind.NotRun:
            return isRetriableRefusal(outcome);
        case OutcomeKind.Unknown:
            return isIdempotent && outcome.reason !== UnknownReason.DeadlineExceeded;
        default:
            throw new UnexpectedVariantError(outcome);
    }
}

function isRetriableRefusal(outcome: NotRunOutcome): boolean {
    return RETRIABLE_REASONS.has(outcome.reason);
}
