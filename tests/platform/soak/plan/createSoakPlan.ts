import * as fc from "fast-check";
import { createFaultsArbitrary } from "./createFaultsArbitrary.js";
import type { SoakPlan } from "./SoakPlan.js";

const ZONES = 3;
const UPSTREAMS_PER_SERVICE = 4;

/** The size of a plan. */
interface SoakPlanSize {
    readonly hosts: number;
    readonly steps: number;
}

/**
 * Creates the plan of a seed.
 * @param seed - The seed.
 * @param size - Hosts and steps.
 */
export function createSoakPlan(seed: number, { hosts, steps }: SoakPlanSize): SoakPlan {
    const [faults] = fc.sample(createFaultsArbitrary(steps), { seed, numRuns: 1 });
    return { seed, hosts, zones: ZONES, upstreamsPerService: UPSTREAMS_PER_SERVICE, steps, faults: faults! };
}
