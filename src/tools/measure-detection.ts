import { readFileSync } from "node:fs";
import type { DetectionSettings } from "../configuration/index.js";
import { EjectionPolicy } from "../services/index.js";
import type { Deployment } from "./Deployment.js";
import type { DetectionCase } from "./DetectionCase.js";
import type { DetectionFigures } from "./DetectionFigures.js";
import { measureDetection } from "./measureDetection.js";

/*
 * Prints detection time and false ejections for both deployments against the baseline policy, in virtual time.
 * Usage: node dist/src/tools/measure-detection.js [number of seeds] [healthy hours]
 */
const FAULT_MS = 120_000;
const HOUR_MS = 3_600_000;
const DEFAULT_SEEDS = 5;
const DEFAULT_HOURS = 1;
const MS_PER_SECOND = 1_000;
const COLUMN_WIDTH = 14;
const NAME_WIDTH = 26;

const CASES: readonly DetectionCase[] = [
    { name: "half of the work fails", faults: { errorRate: 0.5 } },
    { name: "all work fails", faults: { errorRate: 1 } },
    { name: "a fifth of the work fails", faults: { errorRate: 0.2 } },
    { name: "half of the answers cut", faults: { cutRate: 0.5 } },
    { name: "a third never answered", faults: { hangRate: 0.33 } },
    { name: "ten times as slow", faults: { slowFactor: 10 } },
];
const DEPLOYMENTS: readonly Deployment[] = [
    createDeployment("kelom", "orders", 50),
    createDeployment("guild", "order-ledger", 20),
];

const seeds = Array.from({ length: Number(process.argv[2] ?? DEFAULT_SEEDS) }, (_, index) => index + 1);
const hours = Number(process.argv[3] ?? DEFAULT_HOURS);
for (const deployment of DEPLOYMENTS) {
    await reportDeployment(deployment);
}

async function reportDeployment(deployment: Deployment): Promise<void> {
    const { name, detection, upstreams, slots, rate } = deployment;
    console.log(
        `\n${name}: ${upstreams} upstreams of ${slots} slots, ${rate} requests/s, ${JSON.stringify(detection)}`,
    );
    console.log(formatRow(["fault", "mean s", "worst s", "baseline mean", "ratio", "false", "baseline"]));
    for (const { name: fault, faults } of CASES) {
        const ours = await runSeeds(seed =>
            measureDetection(deployment, EjectionPolicy.Sequential, seed, faults, FAULT_MS)
        );
        const theirs = await runSeeds(seed =>
            measureDetection(deployment, EjectionPolicy.Baseline, seed, faults, FAULT_MS)
        );
        console.log(formatRow([fault, ...formatFigures(ours, theirs)]));
    }
    const duration = hours * HOUR_MS;
    const ours = await runSeeds(seed =>
        measureDetection(deployment, EjectionPolicy.Sequential, seed, undefined, duration)
    );
    const theirs = await runSeeds(seed =>
        measureDetection(deployment, EjectionPolicy.Baseline, seed, undefined, duration)
    );
    console.log(formatRow([`healthy, ${hours} h`, "", "", "", "", measureFalse(ours), measureFalse(theirs)]));
}

async function runSeeds(run: (seed: number) => Promise<DetectionFigures>): Promise<DetectionFigures[]> {
    const figures: DetectionFigures[] = [];
    for (const seed of seeds) {
        figures.push(await run(seed));
    }
    return figures;
}

function formatFigures(ours: readonly DetectionFigures[], theirs: readonly DetectionFigures[]): string[] {
    const own = ours.map(getSeconds);
    const baseline = theirs.map(getSeconds);
    const ratio = measureMean(own) / measureMean(baseline);
    return [
        formatSeconds(measureMean(own), ours),
        formatSeconds(Math.max(...own), ours),
        formatSeconds(measureMean(baseline), theirs),
        ratio.toFixed(2),
        measureFalse(ours),
        measureFalse(theirs),
    ];
}

function getSeconds(figures: DetectionFigures): number {
    return (figures.detectionMs ?? FAULT_MS) / MS_PER_SECOND;
}

function formatSeconds(seconds: number, figures: readonly DetectionFigures[]): string {
    const missed = figures.filter(run => run.detectionMs === undefined).length;
    return missed === 0 ? seconds.toFixed(2) : `>${seconds.toFixed(1)} (${missed} no)`;
}

function measureFalse(figures: readonly DetectionFigures[]): string {
    return String(figures.reduce((sum, run) => sum + run.falseEjections, 0));
}

function measureMean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function formatRow(cells: readonly string[]): string {
    return cells.map((cell, index) => cell.padEnd(index === 0 ? NAME_WIDTH : COLUMN_WIDTH)).join("");
}

function createDeployment(name: string, serviceName: string, rate: number): Deployment {
    const document = JSON.parse(readFileSync(`examples/${name}/configuration.json`, "utf8")) as ExampleDocument;
    const services = Object.values(document.sections).flatMap(section => section.services ?? []);
    const service = services.find(candidate => candidate.name === serviceName)!;
    const zone = service.upstreams[0]!.zone;
    const upstreams = service.upstreams.filter(upstream => upstream.zone === zone);
    const { floor, queuePerSlot, detection } = service;
    return { name, upstreams: upstreams.length, slots: upstreams[0]!.slots, floor, queuePerSlot, detection, rate };
}

interface ExampleService {
    readonly name: string;
    readonly floor: number;
    readonly queuePerSlot: number;
    readonly detection: DetectionSettings;
    readonly upstreams: readonly { readonly zone: string; readonly slots: number; }[];
}

interface ExampleDocument {
    readonly sections: Readonly<Record<string, { readonly services?: readonly ExampleService[]; }>>;
}
