import { Decision } from "../logging/index.js";
import type { LoggedDecision } from "./LoggedDecision.js";

const UNHEALTHY_DECISIONS: ReadonlySet<Decision> = new Set([Decision.Ejected, Decision.EjectionWithheld]);

/**
 * Finds the upstreams of a service that a host considered unhealthy when it took a decision: those that it had ejected, or
 * had not ejected because too few others were left. Returns the latest such decision on each.
 * @param decision - The decision; gives the service and the place in the host's log.
 * @param context - Changes in the hosts' view of upstreams, other hosts and the store.
 */
export function findUnhealthyUpstreams(
    decision: LoggedDecision,
    context: readonly LoggedDecision[],
): readonly LoggedDecision[] {
    const unhealthy = new Map<string, LoggedDecision>();
    const isRelevant = (item: LoggedDecision): boolean =>
        item.file === decision.file && item.line < decision.line && item.decision !== Decision.RequestRateNamed &&
        (item.service === decision.service || item.decision === Decision.Started);
    for (const item of context.filter(isRelevant)) {
        const upstream = item.upstream ?? "";
        if (item.decision === Decision.Started) {
            unhealthy.clear();
        }
        else if (UNHEALTHY_DECISIONS.has(item.decision)) {
            unhealthy.set(upstream, item);
        }
        else {
            unhealthy.delete(upstream);
        }
    }
    return [...unhealthy.values()];
}
