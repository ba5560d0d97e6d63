import type { Policy } from "../settings/index.js";
import type { Deployment } from "./Deployment.js";
import type { Scenario } from "./Scenario.js";

/** One run of a scenario. */
export interface ScenarioRun {
    readonly scenario: Scenario;
    readonly deployment: Deployment;
    readonly policy: Policy;
    readonly seed: number;
    /** Entry hosts in each availability zone. */
    readonly hostsPerZone: number;
    /** The first port of its fleet. */
    readonly firstPort: number;
}
