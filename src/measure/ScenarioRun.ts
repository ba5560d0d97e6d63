import type { Policy } from "../settings/index.js";
import type { Deployment } from "./Deployment.js";
import type { Scenario } from "./Scenario.js";

/** The parameters of one run of a scenario. */
export interface ScenarioRun {
    readonly scenario: Scenario;
    readonly deployment: Deployment;
    readonly policy: Policy;
    readonly seed: number;
    /** Number of entry hosts in each availability zone. */
    readonly hostsPerZone: number;
    /** The first port of the run's fleet. */
    readonly firstPort: number;
}
