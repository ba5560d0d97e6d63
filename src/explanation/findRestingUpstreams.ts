import { Decision } from "../logging/index.js";
import type { LoggedDecision } from "./LoggedDecision.js";

const OUT_OF_WORK: ReadonlySet<Decision> = new Set([Decision.Ejected, Decision.EjectionWithheld]);

/**
 * Finds the decisions by which upstreams of a service were out of work, as the host that took a decision saw it then.
 * @param decision - The decision; its service and its place in the host's log count.
 * @param context - What the hosts came to believe.
 */
export function findRestingUpstreams(
    decision: LoggedDecision,
    context: readonly LoggedDecision[],
): readonly LoggedDecision[] {
    const resting = new Map<string, LoggedDecision>();
    const isKnown = (item: LoggedDecision): boolean =>
        item.file === decision.file && item.line < decision.line &&
        (item.service === decision.service || item.decision === Decision.Started);
    for (const item of context.filter(isKnown)) {
        const upstream = item.upstream ?? "";
        if (item.decision === Decision.Started) {
            resting.clear();
        }
        else if (OUT_OF_WORK.has(item.decision)) {
            resting.set(upstream, item);
        }
        else {
            resting.delete(upstream);
        }
    }
    return [...resting.values()];
}
