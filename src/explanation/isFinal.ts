import { Decision } from "../logging/index.js";
import type { LoggedDecision } from "./LoggedDecision.js";

const FINAL_DECISIONS: ReadonlySet<Decision> = new Set([Decision.Answered, Decision.Refused, Decision.OutcomeUnknown]);

/**
 * Whether a decision is the final answer to the caller. Only the host that received the request logs the route with it.
 * @param decision - The decision.
 */
export function isFinal(decision: LoggedDecision): boolean {
    return FINAL_DECISIONS.has(decision.decision) && decision.figures?.["route"] !== undefined;
}
