import { ScenarioRun } from "../scenario/index.js";
import { createMatrixScenario } from "./createMatrixScenario.js";
import type { MatrixCase } from "./MatrixCase.js";
import type { MatrixResult } from "./MatrixResult.js";

/**
 * Runs a case of the fault matrix on simulated hosts in this process.
 * @param matrixCase - The case.
 */
export async function runMatrixCase(matrixCase: MatrixCase): Promise<MatrixResult> {
    const result = await new ScenarioRun(createMatrixScenario(matrixCase), matrixCase.seed).run();
    return { matrixCase, findings: result.findings };
}
