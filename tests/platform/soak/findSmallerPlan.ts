import * as fc from "fast-check";
import { selectArbitrary } from "./plan/selectArbitrary.js";
import type { SoakPlan } from "./plan/SoakPlan.js";
import type { SoakResult } from "./SoakResult.js";

/**
 * Looks for a smaller plan of the same seed that also fails.
 * @param plan - The failing plan.
 * @param maxRuns - Number of runs; 0 for none.
 * @param run - Runs a plan.
 */
export async function findSmallerPlan(
    plan: SoakPlan,
    maxRuns: number,
    run: (plan: SoakPlan) => Promise<SoakResult>,
): Promise<void> {
    if (maxRuns === 0) {
        return;
    }
    let remaining = maxRuns;
    let isFirst = true;
    const property = fc.asyncProperty(selectArbitrary(plan.profile, plan.steps), async faults => {
        if (isFirst) {
            // The plan itself has just failed.
            isFirst = false;
            return false;
        }
        return remaining-- <= 0 || (await run({ ...plan, faults })).findings.length === 0;
    });
    const { counterexample } = await fc.check(property, { seed: plan.seed, numRuns: 1 });
    console.log(`    smallest failing plan: ${JSON.stringify(counterexample?.[0])}`);
}
