import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createHttpRun, parseExperiment } from "../load/index.js";
import type { Policy } from "../settings/index.js";
import type { Clock } from "../time/index.js";
import { createExperiment } from "./createExperiment.js";
import { createMeasurement } from "./createMeasurement.js";
import type { Deployment } from "./Deployment.js";
import { Fleet } from "./Fleet.js";
import type { Measurement } from "./Measurement.js";
import type { Scenario } from "./Scenario.js";

interface ScenarioRun {
    readonly scenario: Scenario;
    readonly deployment: Deployment;
    readonly policy: Policy;
    readonly seed: number;
    readonly hostsPerZone: number;
    readonly firstPort: number;
}

/**
 * Runs a scenario once on a fleet of its own and returns its figures.
 * @param run - What is run.
 * @param clock - The source of time.
 */
export async function runScenario(run: ScenarioRun, clock: Clock): Promise<Measurement> {
    const folder = await mkdtemp(join(tmpdir(), "fuchsiapath-measure-"));
    const { deployment, scenario } = run;
    const fleet = new Fleet({ ...run, document: deployment.document, folder }, clock);
    try {
        await fleet.start();
        const content = createExperiment(scenario, deployment, run.seed);
        const experiment = parseExperiment(content, fleet.getPlace(deployment.keys));
        const report = await createHttpRun(experiment, clock).run();
        return createMeasurement(scenario, report, fleet.decisions);
    }
    finally {
        await fleet.stop();
        await rm(folder, { recursive: true });
    }
}
