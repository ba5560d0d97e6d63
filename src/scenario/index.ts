export { parseScenario } from "./parseScenario.js";
export type { Scenario } from "./Scenario.js";
export type { ScenarioResult } from "./ScenarioResult.js";
export { ScenarioRun } from "./ScenarioRun.js";
export type { ScenarioStep } from "./ScenarioStep.js";
export { StepKind } from "./StepKind.js";
