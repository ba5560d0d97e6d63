import { ProbationResult } from "./ProbationResult.js";

const TRIALS_TO_PASS = 8;
const MAX_SLOW_TRIALS = 4;

/** Decides by a few trials whether an upstream on probation is restored. */
export class ProbationTest {
    readonly #trialsToPass: number;
    #passed = 0;
    #slow = 0;

    /** @param trialsToPass - The number of trials in time that are needed. */
    constructor(trialsToPass = TRIALS_TO_PASS) {
        this.#trialsToPass = trialsToPass;
    }

    /**
     * Records a trial; returns the result so far.
     * @param isFailure - Whether it failed.
     * @param isSlow - Whether it was slow relative to the siblings.
     */
    record(isFailure: boolean, isSlow: boolean): ProbationResult {
        if (isFailure) {
            return ProbationResult.Failed;
        }
        if (isSlow) {
            this.#slow++;
            return this.#slow >= MAX_SLOW_TRIALS ? ProbationResult.Failed : ProbationResult.Pending;
        }
        this.#passed++;
        return this.#passed >= this.#trialsToPass ? ProbationResult.Passed : ProbationResult.Pending;
    }
}
