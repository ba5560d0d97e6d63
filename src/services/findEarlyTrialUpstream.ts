import type { PooledUpstream } from "./PooledUpstream.js";
import { UpstreamState } from "./UpstreamState.js";

/** Shortest time out of work before an early trial while requests wait for a slot, in milliseconds. */
const MIN_REST_WHEN_SHORT_MS = 1_500;
/** The same for the floor's sake alone. */
const MIN_REST_MS = 3_000;
/** After a failed trial these times are this many times as long. */
const FAILED_TRIAL_FACTOR = 2;

/**
 * Finds the upstream that has been out of work longest, if fewer are at work than the floor wants or if requests wait for a
 * slot. An upstream whose trial has failed too is no healthy capacity, and the floor does not count it.
 * @param upstreams - The upstreams of the pool.
 * @param floor - Share of the upstreams that should be at work, from 0 to 1.
 * @param isShort - Whether requests wait for a slot.
 */
export function findEarlyTrialUpstream(
    upstreams: readonly PooledUpstream[],
    floor: number,
    isShort: boolean,
): PooledUpstream | undefined {
    const remaining = upstreams.filter(upstream => upstream.getState() !== UpstreamState.Draining);
    const working = remaining.filter(isTrusted).length;
    const trials =
        remaining.filter(upstream =>
            upstream.getState() === UpstreamState.Probation && !upstream.isReservedForLookups()
        ).length;
    const failing = remaining.filter(upstream => !upstream.isInService() && upstream.hasFailedTrial).length;
    const isBelowFloor = working + trials < Math.floor(floor * (remaining.length - failing));
    if (!isBelowFloor && (!isShort || working === 0 || trials > 0)) {
        return undefined;
    }
    const rested = remaining.filter(upstream =>
        (upstream.getState() === UpstreamState.Ejected || upstream.isReservedForLookups()) &&
        hasRested(upstream, isShort)
    );
    rested.sort((left, right) => right.getTimeSinceEjection() - left.getTimeSinceEjection());
    return rested[0];
}

/** Held upstreams are at work only because too few others are. */
function isTrusted(upstream: PooledUpstream): boolean {
    return upstream.isInService() && upstream.getState() !== UpstreamState.EjectionWithheld;
}

function hasRested(upstream: PooledUpstream, isShort: boolean): boolean {
    const restMs = isShort ? MIN_REST_WHEN_SHORT_MS : MIN_REST_MS;
    return upstream.getTimeSinceEjection() >= (upstream.hasFailedTrial ? FAILED_TRIAL_FACTOR : 1) * restMs;
}
