import type { LoggedDecision } from "./LoggedDecision.js";

/**
 * Formats logged decisions with their time since the start of a run, in milliseconds.
 * @param decisions - The decisions.
 * @param startedAt - Start of the run, in milliseconds since the Unix epoch.
 */
export function formatDecisions(decisions: readonly LoggedDecision[], startedAt: number): string {
    return decisions.map(({ decision, reason, time, upstream }) =>
        `${String(time - startedAt).padStart(6)} ms  ${decision} ${upstream}: ${reason}`
    ).join("\n");
}
