import { Decision } from "../logging/index.js";
import type { LoggedDecision } from "./LoggedDecision.js";

/**
 * Finds the upstreams of a service that had told a host of a limit of their request rate when it took a decision. Returns the latest such
 * line on each.
 * @param decision - The decision; gives the service and the place in the host's log.
 * @param context - Changes in the hosts' view of upstreams, other hosts and the store.
 */
export function findLimitedUpstreams(
    decision: LoggedDecision,
    context: readonly LoggedDecision[],
): readonly LoggedDecision[] {
    const limited = new Map<string, LoggedDecision>();
    const isRelevant = (item: LoggedDecision): boolean =>
        item.decision === Decision.RequestRateNamed && item.file === decision.file && item.line < decision.line &&
        item.service === decision.service;
    for (const item of context.filter(isRelevant)) {
        limited.delete(item.upstream ?? "");
        if (item.figures?.["requestsPerSecond"] !== undefined) {
            limited.set(item.upstream ?? "", item);
        }
    }
    return [...limited.values()];
}
