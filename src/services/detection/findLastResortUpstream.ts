import type { PooledUpstream } from "../pools/PooledUpstream.js";
import { UpstreamState } from "../pools/UpstreamState.js";
import { isLatencyOutlier } from "./isLatencyOutlier.js";
import { isReachable } from "./isReachable.js";

/** Shortest ejection of a failing upstream, in milliseconds. */
const MIN_EJECTION_MS = 1_500;

/**
 * Finds the ejected upstream to use if no upstream is in service or open to trials of any request: a slow one, as a late answer is
 * better than none, or the one that was ejected first. Upstreams that leave requests unanswered are left out.
 * @param upstreams - The upstreams of the pool.
 */
export function findLastResortUpstream(upstreams: readonly PooledUpstream[]): PooledUpstream | undefined {
    if (upstreams.some(isInUse)) {
        return undefined;
    }
    const candidates = upstreams.filter(upstream =>
        upstream.getState() !== UpstreamState.Draining && isReachable(upstream) &&
        (isLatencyOutlier(upstream) || upstream.getTimeSinceEjection() >= MIN_EJECTION_MS)
    );
    candidates.sort((left, right) =>
        Number(isLatencyOutlier(right)) - Number(isLatencyOutlier(left)) ||
        right.getTimeSinceEjection() - left.getTimeSinceEjection()
    );
    return candidates[0];
}

function isInUse(upstream: PooledUpstream): boolean {
    const isOpenToTrials = upstream.getState() === UpstreamState.Probation && !upstream.isReservedForLookups();
    return upstream.isInService() || isOpenToTrials;
}
