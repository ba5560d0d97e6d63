import { Decision } from "../logging/index.js";
import type { LoggedDecision } from "./LoggedDecision.js";

/** Decisions of the caller's host, which names the attempt beside the request's own id. */
const DISPATCHER_DECISIONS: ReadonlySet<Decision> = new Set([Decision.Retried, Decision.RetryRefused]);

/**
 * Gets the number of the attempt that a decision belongs to, from 1; undefined if the decision does not hold it.
 * @param decision - The decision.
 * @param requestId - The request's id.
 */
export function getAttemptNumber(decision: LoggedDecision, requestId: string): number | undefined {
    const attempt = decision.figures?.["attempt"];
    if (DISPATCHER_DECISIONS.has(decision.decision) && typeof attempt === "number") {
        return attempt;
    }
    if (decision.service === undefined) {
        return undefined;
    }
    const suffix = decision.requestId?.slice(requestId.length + 1) ?? "";
    return suffix === "" || suffix.startsWith("h") ? 1 : Number.parseInt(suffix, 10);
}
