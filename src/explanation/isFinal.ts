import { Decision } from "../logging/index.js";
import type { LoggedDecision } from "./LoggedDecision.js";

const FINAL: ReadonlySet<Decision> = new Set([Decision.Answered, Decision.Refused, Decision.OutcomeUnknown]);

/**
 * Whether a decision is the answer that the caller got; only the host that took the request in knows its route.
 * @param decision - The decision.
 */
export function isFinal(decision: LoggedDecision): boolean {
    return FINAL.has(decision.decision) && decision.figures?.["route"] !== undefined;
}
