export { parseScenario } from "./parseScenario.js";
export type { Scenario } from "./Scenario.js";
export type { ScenarioResult } from "./ScenarioResult.js";
export { ScenarioRun } from "./ScenarioRun.js";
