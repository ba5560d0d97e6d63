import type { PooledUpstream } from "../pools/PooledUpstream.js";

/**
 * Whether an upstream may be ejected: without it the capacity in service stays at or above the floor, in upstreams and in slots.
 * @param upstream - The upstream to eject.
 * @param upstreams - All upstreams of this part, draining ones too.
 * @param floor - Share of the upstreams that stays in service, from 0 to 1.
 */
export function hasCapacityAboveFloor(
    upstream: PooledUpstream,
    upstreams: readonly PooledUpstream[],
    floor: number,
): boolean {
    const remaining = upstreams.filter(other => other !== upstream && other.isInService());
    const hasUpstreams = remaining.length >= Math.ceil(floor * upstreams.length);
    return hasUpstreams && measureSlots(remaining) >= floor * measureSlots(upstreams);
}

function measureSlots(upstreams: readonly PooledUpstream[]): number {
    return upstreams.reduce((sum, upstream) => sum + upstream.getUpstream().slots, 0);
}
