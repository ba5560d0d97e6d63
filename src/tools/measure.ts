import { writeFile } from "node:fs/promises";
import yargs from "yargs";
import { formatReport } from "../load/index.js";
import {
    checkTargets,
    createScenario,
    type Deployment,
    formatDecisions,
    formatMeasurements,
    type Measurement,
    readDeployment,
    runScenario,
    type ScenarioComparison,
    ScenarioKind,
    type ScenarioRun,
} from "../measure/index.js";
import { Policy } from "../settings/index.js";
import { SystemClock } from "../time/index.js";

/* Measures this version against the baseline policy: each run on a fleet of separate processes, one after another. */
const DEFAULT_FIRST_PORT = 27_000;
const PORTS_OF_FLEET = 600;
const DEFAULT_SEEDS = [1, 2, 3];
const DEFAULT_HOSTS_PER_ZONE = 3;
const POLICIES = [Policy.Standard, Policy.Baseline];

const args = await yargs(process.argv.slice(2))
    .scriptName("npm run measure --")
    .option("deployment", { type: "string", array: true, default: ["kelom", "guild"], describe: "folders of examples" })
    .option("scenario", {
        type: "string",
        array: true,
        choices: Object.values(ScenarioKind),
        describe: "all if left out",
    })
    .option("seed", { type: "number", array: true, default: DEFAULT_SEEDS, describe: "seeds of arrivals and faults" })
    .option("policy", { type: "string", array: true, choices: POLICIES, default: POLICIES, describe: "what to run" })
    .option("hosts-per-zone", { type: "number", default: DEFAULT_HOSTS_PER_ZONE, describe: "entry hosts in each zone" })
    .option("verbose", { type: "boolean", default: false, describe: "print the load tool's table of every run" })
    .option("port", { type: "number", default: DEFAULT_FIRST_PORT, describe: "first port on loopback" })
    .option("out", { type: "string", describe: "file for the figures of every run as JSON" })
    .strict()
    .help()
    .parseAsync();

const clock = new SystemClock();
const controller = new AbortController();
process.once("SIGINT", () => controller.abort());
process.once("SIGTERM", () => controller.abort());
const deployments = await Promise.all(args.deployment.map(readDeployment));
const kinds = args.scenario ?? Object.values(ScenarioKind);
const measured: ScenarioComparison[][] = [];
for (const [index, deployment] of deployments.entries()) {
    measured.push(await measureDeployment(deployment, index));
}
measured.forEach((pairs, index) => {
    console.log(formatMeasurements(`${deployments[index]!.name}, seeds ${args.seed.join(", ")}`, pairs));
    for (const check of checkTargets(pairs)) {
        console.log(`${check.isMet ? "met   " : "MISSED"} ${check.target}: ${check.figure}`);
    }
});
if (args.out !== undefined) {
    await writeFile(args.out, JSON.stringify(measured, undefined, 4) + "\n");
}

async function measureDeployment(deployment: Deployment, index: number): Promise<ScenarioComparison[]> {
    const pairs: ScenarioComparison[] = [];
    for (const kind of kinds) {
        pairs.push(await measureScenario(kind, deployment, index));
    }
    return pairs;
}

async function measureScenario(kind: ScenarioKind, deployment: Deployment, index: number): Promise<ScenarioComparison> {
    const scenario = createScenario(kind, deployment);
    const figures: Record<Policy, Measurement[]> = { [Policy.Standard]: [], [Policy.Baseline]: [] };
    for (const seed of args.seed) {
        for (const policy of args.policy) {
            const fleetIndex = index * POLICIES.length + POLICIES.indexOf(policy);
            const firstPort = args.port + fleetIndex * PORTS_OF_FLEET;
            const run = { scenario, deployment, policy, seed, hostsPerZone: args.hostsPerZone, firstPort };
            figures[policy].push(await measureRun(run));
        }
    }
    return { scenario, standard: figures[Policy.Standard], baseline: figures[Policy.Baseline] };
}

async function measureRun(run: ScenarioRun): Promise<Measurement> {
    const { decisions, measurement, report } = await runScenario(run, clock, controller.signal);
    if (args.verbose) {
        console.error(formatReport(report) + formatDecisions(decisions, report.startedAt));
    }
    const { deployment, policy, scenario, seed } = run;
    console.error(
        JSON.stringify({ deployment: deployment.name, scenario: scenario.kind, policy, seed, ...measurement }),
    );
    return measurement;
}
