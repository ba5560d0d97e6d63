import { isLatencyOutlier } from "./isLatencyOutlier.js";
import { isReachable } from "./isReachable.js";
import type { PooledUpstream } from "./PooledUpstream.js";
import { UpstreamState } from "./UpstreamState.js";

/** Shortest time out of work of an upstream that fails, in milliseconds. */
const MIN_REST_MS = 1_500;

/**
 * Finds the resting upstream that is to be used if no upstream works or is on trial: a slow one, as a late answer is better than none,
 * or the one that has been out of work longest. Upstreams that leave requests without an answer are left out.
 * @param upstreams - The upstreams of the pool.
 */
export function findLastResortUpstream(upstreams: readonly PooledUpstream[]): PooledUpstream | undefined {
    if (upstreams.some(isInUse)) {
        return undefined;
    }
    const resting = upstreams.filter(upstream =>
        upstream.getState() !== UpstreamState.Draining && isReachable(upstream) &&
        (isLatencyOutlier(upstream) || upstream.getTimeSinceEjection() >= MIN_REST_MS)
    );
    resting.sort((left, right) =>
        Number(isLatencyOutlier(right)) - Number(isLatencyOutlier(left)) ||
        right.getTimeSinceEjection() - left.getTimeSinceEjection()
    );
    return resting[0];
}

function isInUse(upstream: PooledUpstream): boolean {
    const isOnTrial = upstream.getState() === UpstreamState.Probation && !upstream.isReservedForLookups();
    return upstream.isInService() || isOnTrial;
}
