import type { MatrixCase } from "./MatrixCase.js";

/** The result of running a case. */
export interface MatrixResult {
    readonly matrixCase: MatrixCase;
    /** Violated guarantees; empty if the case passed. */
    readonly findings: readonly string[];
}
