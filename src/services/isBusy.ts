import type { PooledUpstream } from "./PooledUpstream.js";

/** Share of its slots in use from which on a pool is busy. */
const BUSY_SHARE = 0.33;

/**
 * Whether a pool can hardly spare an upstream.
 * @param upstreams - The upstreams of the pool.
 */
export function isBusy(upstreams: readonly PooledUpstream[]): boolean {
    const working = upstreams.filter(upstream => upstream.isInService());
    const running = working.reduce((sum, upstream) => sum + upstream.getRunning(), 0);
    return running > BUSY_SHARE * working.reduce((sum, upstream) => sum + upstream.getLimit(), 0);
}
