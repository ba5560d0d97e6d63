import type { PooledUpstream } from "../pools/PooledUpstream.js";

/** A pool is busy when a larger share of its slots is in use. */
const BUSY_SHARE = 0.33;

/**
 * Whether a pool is too busy to lose the capacity of an upstream for long.
 * @param upstreams - The upstreams of the pool.
 */
export function isBusy(upstreams: readonly PooledUpstream[]): boolean {
    const inService = upstreams.filter(upstream => upstream.isInService());
    const running = inService.reduce((sum, upstream) => sum + upstream.getRunning(), 0);
    return running > BUSY_SHARE * inService.reduce((sum, upstream) => sum + upstream.getLimit(), 0);
}
