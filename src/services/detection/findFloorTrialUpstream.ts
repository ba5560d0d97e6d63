import type { PooledUpstream } from "../pools/PooledUpstream.js";
import { UpstreamState } from "../pools/UpstreamState.js";

/** An upstream idle for this long is not in use, in milliseconds; less than the two seconds over which the floor is measured. */
const MAX_IDLE_MS = 1_800;
const TRIAL_STATES: ReadonlySet<UpstreamState> = new Set([
    UpstreamState.Ejected,
    UpstreamState.EjectionWithheld,
    UpstreamState.Probation,
]);

/**
 * Finds the longest idle upstream that is ejected, on probation or has its ejection withheld, if fewer upstreams than the floor
 * had a request lately. Upstreams that leave requests unanswered are left out, as each trial would hold a request until its deadline,
 * and so are those that may not be sent a request now.
 * @param upstreams - The upstreams of the pool.
 * @param floor - Share of the upstreams that should be in use, from 0 to 1.
 */
export function findFloorTrialUpstream(
    upstreams: readonly PooledUpstream[],
    floor: number,
): PooledUpstream | undefined {
    const usable = upstreams.filter(upstream =>
        upstream.getState() !== UpstreamState.Draining && (upstream.isInService() || upstream.isFailingFast) &&
        (upstream.getPauseMs() === 0 || upstream.getIdleTime() < MAX_IDLE_MS)
    );
    const inUse = usable.filter(upstream => upstream.getIdleTime() < MAX_IDLE_MS).length;
    if (inUse >= Math.ceil(floor * usable.length)) {
        return undefined;
    }
    const idle = usable.filter(upstream =>
        upstream.getIdleTime() >= MAX_IDLE_MS && TRIAL_STATES.has(upstream.getState()) && !upstream.isFloorTrialDue()
    );
    idle.sort((left, right) => right.getIdleTime() - left.getIdleTime());
    return idle[0];
}
