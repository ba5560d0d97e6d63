import * as fc from "fast-check";
import { selectArbitrary } from "./selectArbitrary.js";
import type { SoakPlan } from "./SoakPlan.js";
import { SoakProfile } from "./SoakProfile.js";

const ZONES = 3;
const UPSTREAMS_PER_SERVICE = 4;

/** The size of a plan. */
interface SoakPlanSize {
    readonly hosts: number;
    readonly steps: number;
    readonly profile?: SoakProfile;
}

/**
 * Creates the plan of a seed.
 * @param seed - The seed.
 * @param size - Hosts, steps and what the plan is made of.
 */
export function createSoakPlan(
    seed: number,
    { hosts, steps, profile = SoakProfile.Faults }: SoakPlanSize,
): SoakPlan {
    const [faults] = fc.sample(selectArbitrary(profile, steps), { seed, numRuns: 1 });
    return { seed, profile, hosts, zones: ZONES, upstreamsPerService: UPSTREAMS_PER_SERVICE, steps, faults: faults! };
}
