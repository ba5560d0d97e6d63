import type * as fc from "fast-check";
import { createFaultsArbitrary } from "./createFaultsArbitrary.js";
import { createPressureArbitrary } from "./createPressureArbitrary.js";
import type { SoakFault } from "./SoakFault.js";
import { SoakProfile } from "./SoakProfile.js";

/**
 * Selects what plans are made of.
 * @param profile - The profile of the plans.
 * @param steps - Number of steps in which faults begin.
 */
export function selectArbitrary(profile: SoakProfile, steps: number): fc.Arbitrary<readonly SoakFault[]> {
    switch (profile) {
        case SoakProfile.Faults:
            return createFaultsArbitrary(steps);
        case SoakProfile.Pressure:
            return createPressureArbitrary(steps);
    }
}
