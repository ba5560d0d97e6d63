import type { PooledUpstream } from "./PooledUpstream.js";
import type { PoolLoad } from "./PoolLoad.js";
import { UpstreamState } from "./UpstreamState.js";

/** An upstream with a request within this time is in use, in milliseconds. */
const IN_USE_MS = 2_000;

type UpstreamCounts = Pick<PoolLoad, "upstreams" | "working" | "held" | "resting" | "away" | "limited" | "used">;

/**
 * Creates the counts of a pool's upstreams by state and use; draining ones are left out.
 * @param pooled - The upstreams of the pool.
 */
export function createUpstreamCounts(pooled: readonly PooledUpstream[]): UpstreamCounts {
    const upstreams = pooled.filter(upstream => upstream.getState() !== UpstreamState.Draining);
    const getCount = (isCounted: (upstream: PooledUpstream) => boolean): number => upstreams.filter(isCounted).length;
    return {
        upstreams: upstreams.length,
        working: getCount(upstream => upstream.isInService()),
        held: getCount(upstream => upstream.getState() === UpstreamState.EjectionWithheld),
        resting: getCount(upstream => !upstream.isInService() && upstream.isFailingFast),
        away: getCount(upstream => upstream.isSilent || upstream.isConnectFailing),
        limited: getCount(upstream => upstream.rateLimiter.isLimited()),
        used: getCount(upstream => upstream.getIdleTime() < IN_USE_MS),
    };
}
