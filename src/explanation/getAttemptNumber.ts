import { Decision } from "../logging/index.js";
import type { LoggedDecision } from "./LoggedDecision.js";

/**
 * Gets the number of the attempt that a decision belongs to, from 1; undefined if the decision does not hold it.
 * @param decision - The decision.
 * @param requestId - The request's id.
 */
export function getAttemptNumber(decision: LoggedDecision, requestId: string): number | undefined {
    const attempt = decision.figures?.["attempt"];
    if (decision.decision === Decision.Retried && typeof attempt === "number") {
        return attempt;
    }
    if (decision.service === undefined) {
        return undefined;
    }
    return decision.requestId === requestId ? 1 : Number(decision.requestId?.slice(requestId.length + 1));
}
