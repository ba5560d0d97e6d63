import { OutcomeKind, RefusalReason } from "../outcomes/index.js";
import type { ServiceAnswer } from "../services/index.js";

const HOST_REFUSAL_REASONS: ReadonlySet<RefusalReason> = new Set([
    RefusalReason.HostCutOff,
    RefusalReason.HostNotCurrent,
    RefusalReason.HostStopping,
]);

/**
 * Gets the answer of a service host for the caller; undefined if the next service host may run the request.
 * @param answer - The answer.
 */
export function getUnlessHostRefused(answer: ServiceAnswer): ServiceAnswer | undefined {
    const { outcome } = answer;
    if (outcome.kind !== OutcomeKind.NotRun) {
        return answer;
    }
    if (outcome.reason === RefusalReason.SenderStopping) {
        return { ...answer, outcome: { ...outcome, reason: RefusalReason.HostStopping } };
    }
    return HOST_REFUSAL_REASONS.has(outcome.reason) ? undefined : answer;
}
