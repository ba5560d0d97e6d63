import type { Scenario } from "./Scenario.js";

/** A timed step of a scenario. */
export type ScenarioStep = Scenario["steps"][number];
