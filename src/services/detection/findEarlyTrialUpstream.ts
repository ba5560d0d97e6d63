import type { PooledUpstream } from "../pools/PooledUpstream.js";
import { UpstreamState } from "../pools/UpstreamState.js";

/** Shortest ejection before an early trial while no slot is free, in milliseconds. */
const MIN_EJECTION_WHEN_SHORT_MS = 1_500;
/** Shortest ejection before an early trial that only the floor requires, in milliseconds. */
const MIN_EJECTION_MS = 3_000;
/** Factor of these times after a failed trial. */
const FAILED_TRIAL_FACTOR = 2;

/**
 * Finds the upstream that was ejected first, if fewer upstreams than the floor are in service or if no slot is free. The floor
 * doesn't count upstreams whose trial has failed too, as these are not healthy. Upstreams that may not be sent a request now are left out.
 * @param upstreams - The upstreams of the pool.
 * @param floor - Share of the upstreams that should be in service, from 0 to 1.
 * @param isShortOfSlots - Whether no slot is free.
 */
export function findEarlyTrialUpstream(
    upstreams: readonly PooledUpstream[],
    floor: number,
    isShortOfSlots: boolean,
): PooledUpstream | undefined {
    const remaining = upstreams.filter(upstream => upstream.getState() !== UpstreamState.Draining);
    const inService = remaining.filter(isHealthyCapacity).length;
    const trials =
        remaining.filter(upstream =>
            upstream.getState() === UpstreamState.Probation && !upstream.isReservedForLookups()
        ).length;
    const failing = remaining.filter(upstream => !upstream.isInService() && upstream.hasFailedTrial).length;
    const isBelowFloor = inService + trials < Math.floor(floor * (remaining.length - failing));
    if (!isBelowFloor && (!isShortOfSlots || inService === 0 || trials > 0)) {
        return undefined;
    }
    const candidates = remaining.filter(upstream =>
        (upstream.getState() === UpstreamState.Ejected || upstream.isReservedForLookups()) &&
        upstream.getPauseMs() === 0 && isEjectedLongEnough(upstream, isShortOfSlots)
    );
    candidates.sort((left, right) => right.getTimeSinceEjection() - left.getTimeSinceEjection());
    return candidates[0];
}

/** An upstream whose ejection is withheld is in service only because too few others are. */
function isHealthyCapacity(upstream: PooledUpstream): boolean {
    return upstream.isInService() && upstream.getState() !== UpstreamState.EjectionWithheld;
}

function isEjectedLongEnough(upstream: PooledUpstream, isShortOfSlots: boolean): boolean {
    const ejectionMs = isShortOfSlots ? MIN_EJECTION_WHEN_SHORT_MS : MIN_EJECTION_MS;
    return upstream.getTimeSinceEjection() >= (upstream.hasFailedTrial ? FAILED_TRIAL_FACTOR : 1) * ejectionMs;
}
