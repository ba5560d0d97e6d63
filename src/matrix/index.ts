export { createFaultSteps } from "./createFaultSteps.js";
export { createMatrixCases } from "./createMatrixCases.js";
export { createMatrixScenario } from "./createMatrixScenario.js";
export { formatMatrix } from "./formatMatrix.js";
export type { MatrixCase } from "./MatrixCase.js";
export { MatrixFault } from "./MatrixFault.js";
export { MatrixProtocol } from "./MatrixProtocol.js";
export type { MatrixResult } from "./MatrixResult.js";
export { runMatrixCase } from "./runMatrixCase.js";
