import { readFile } from "node:fs/promises";
import { ProcessFleet } from "../fleet/index.js";
import { createHttpRun, parseExperiment } from "../load/index.js";
import { Decision } from "../logging/index.js";
import { ServiceTimeKind } from "../standins/index.js";
import type { Clock } from "../time/index.js";
import { createExperiment } from "./createExperiment.js";
import { createMeasurement } from "./createMeasurement.js";
import type { LoggedDecision } from "./LoggedDecision.js";
import { parseDecision } from "./parseDecision.js";
import type { ScenarioResult } from "./ScenarioResult.js";
import type { ScenarioRun } from "./ScenarioRun.js";

const UPSTREAM_PORT_OFFSET = 400;
const LOOKUP_LIFETIME_MS = 5_000;
/** New owners of accounts admit nothing until the rate shares of an earlier view have expired, then fill their token buckets. */
const RATE_WARM_UP_MS = 8_000;
const EJECTION_DECISIONS: ReadonlySet<string> = new Set([Decision.Ejected, Decision.Restored]);
const UPSTREAM_DEFAULTS = {
    serviceTime: { kind: ServiceTimeKind.LogNormal, medianMs: 15, sigma: 0.4 },
    coldStartMs: 4_000,
    coldStartFactor: 5,
    crashDownMs: 2_000,
    largeBytes: 1_048_576,
} as const;

/**
 * Runs a scenario once on a separate fleet and returns its figures.
 * @param run - The parameters of the run.
 * @param clock - The source of time.
 * @param signal - Aborts the run and stops its fleet.
 */
export async function runScenario(run: ScenarioRun, clock: Clock, signal: AbortSignal): Promise<ScenarioResult> {
    const { deployment, firstPort: basePort, scenario, seed } = run;
    const fleet = new ProcessFleet({
        example: deployment.folder,
        hostsPerZone: run.hostsPerZone,
        basePort,
        policy: run.policy,
        upstreams: UPSTREAM_DEFAULTS,
        lookupLifetimeMs: LOOKUP_LIFETIME_MS,
        upstreamPort: basePort + UPSTREAM_PORT_OFFSET,
        seed,
    });
    try {
        await fleet.start();
        await fleet.applyDocument();
        await clock.wait(RATE_WARM_UP_MS, signal);
        const experiment = parseExperiment(createExperiment(scenario, deployment, seed), fleet.getPlace());
        const report = await Promise.race([createHttpRun(experiment, clock).run(), waitForAbort(signal)]);
        const decisions = await readDecisions(fleet);
        return { measurement: createMeasurement(scenario, report, decisions), report, decisions };
    }
    finally {
        await fleet.stop();
    }
}

async function readDecisions(fleet: ProcessFleet): Promise<LoggedDecision[]> {
    const text = await readFile(fleet.getLogFile(), "utf8");
    return text.split("\n").map(parseDecision)
        .filter(decision => decision !== undefined && EJECTION_DECISIONS.has(decision.decision))
        .map(decision => decision!);
}

function waitForAbort(signal: AbortSignal): Promise<never> {
    return new Promise((_, reject) => {
        signal.addEventListener("abort", () => reject(signal.reason as Error), { once: true });
    });
}
