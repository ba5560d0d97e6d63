export { createScenario } from "./createScenario.js";
export type { Deployment } from "./Deployment.js";
export { formatDecisions } from "./formatDecisions.js";
export { formatMeasurements } from "./formatMeasurements.js";
export type { MeasuredPair } from "./MeasuredPair.js";
export type { Measurement } from "./Measurement.js";
export { readDeployment } from "./readDeployment.js";
export { runScenario } from "./runScenario.js";
export { ScenarioKind } from "./ScenarioKind.js";
