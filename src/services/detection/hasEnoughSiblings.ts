import type { PooledUpstream } from "../pools/PooledUpstream.js";
import { UpstreamState } from "../pools/UpstreamState.js";

/** Pools with fewer upstreams than this may eject all of them where that costs no requests. */
const SMALL_POOL = 3;
/**
 * Share of a pool that stays in service whatever the evidence. With three in ten upstreams failing at any time, fewer than this
 * are healthy in only one of thirty pools of five, so more failures are taken for a fault common to all upstreams.
 */
const MIN_IN_SERVICE_SHARE = 0.4;

/**
 * Whether enough upstreams stay in service when one is ejected on little evidence.
 * @param upstream - The upstream to eject.
 * @param upstreams - All upstreams of the pool.
 * @param mayEjectAll - Whether a small pool may eject all its upstreams.
 */
export function hasEnoughSiblings(
    upstream: PooledUpstream,
    upstreams: readonly PooledUpstream[],
    mayEjectAll: boolean,
): boolean {
    const remaining = upstreams.filter(other => other.getState() !== UpstreamState.Draining);
    const inService = remaining.filter(other => other !== upstream && other.isInService()).length;
    return (remaining.length < SMALL_POOL && mayEjectAll) ||
        inService >= Math.ceil(MIN_IN_SERVICE_SHARE * remaining.length);
}
