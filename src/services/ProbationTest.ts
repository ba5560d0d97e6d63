import { ProbationResult } from "./ProbationResult.js";

const TRIALS_TO_PASS = 8;
const MAX_SLOW_TRIALS = 4;

/** Judges an upstream by a few trial lookups. */
export class ProbationTest {
    readonly #trialsToPass: number;
    #passed = 0;
    #slow = 0;

    /** @param trialsToPass - Trials in time that are needed. */
    constructor(trialsToPass = TRIALS_TO_PASS) {
        this.#trialsToPass = trialsToPass;
    }

    /**
     * Records a trial and returns the verdict so far.
     * @param isFailure - Whether it failed.
     * @param isSlow - Whether it was slow against the siblings.
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
