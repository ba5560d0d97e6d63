import type { MatrixCase } from "./MatrixCase.js";

/** What the run of a case found. */
export interface MatrixResult {
    readonly matrixCase: MatrixCase;
    /** Broken promises; none if the case passed. */
    readonly findings: readonly string[];
}
