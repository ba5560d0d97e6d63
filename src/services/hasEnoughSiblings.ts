import type { PooledUpstream } from "./PooledUpstream.js";
import { UpstreamState } from "./UpstreamState.js";

/** Pools with fewer upstreams than this may lose all of them, if nothing is lost by it. */
const SMALL_POOL = 3;
/**
 * Share of a pool that stays at work although convicted: three in ten upstreams in a spell at a time leave fewer than
 * this in one of thirty pools of five, so more is taken for a fault of all.
 */
const MIN_WORKING_SHARE = 0.4;

/**
 * Whether enough upstreams work on when one is ejected on little evidence.
 * @param upstream - The upstream to eject.
 * @param upstreams - All upstreams of the pool.
 * @param mayLoseAll - Whether a small pool may be left without any.
 */
export function hasEnoughSiblings(
    upstream: PooledUpstream,
    upstreams: readonly PooledUpstream[],
    mayLoseAll: boolean,
): boolean {
    const remaining = upstreams.filter(other => other.getState() !== UpstreamState.Draining);
    const working = remaining.filter(other => other !== upstream && other.isInService()).length;
    return (remaining.length < SMALL_POOL && mayLoseAll) ||
        working >= Math.ceil(MIN_WORKING_SHARE * remaining.length);
}
