import { EjectionPolicy } from "../services/index.js";
import type { DetectionCase } from "./DetectionCase.js";
import type { DetectionFigures } from "./DetectionFigures.js";
import { measureDetection } from "./measureDetection.js";
import type { MeasuredService } from "./MeasuredService.js";
import { measureShares } from "./measureShares.js";
import { readMeasuredService } from "./readMeasuredService.js";

/*
 * Prints, in virtual time and for both deployments, detection time and false ejections against the baseline policy,
 * and the share that the worst-served account gets beside one that sends five times its rate.
 * Usage: node dist/src/tools/measure-detection.js [number of seeds] [healthy hours] [deployment]
 */
const FAULT_MS = 120_000;
const HOUR_MS = 3_600_000;
const DEFAULT_SEEDS = 5;
const DEFAULT_HOURS = 1;
const STORM_FACTOR = 5;
const PERCENT = 100;
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
const DEPLOYMENTS: readonly MeasuredService[] = [
    readMeasuredService("kelom", "orders", 50),
    readMeasuredService("guild", "order-ledger", 20),
];

const seeds = Array.from({ length: Number(process.argv[2] ?? DEFAULT_SEEDS) }, (_, index) => index + 1);
const hours = Number(process.argv[3] ?? DEFAULT_HOURS);
const only = process.argv[4];
for (const deployment of DEPLOYMENTS.filter(candidate => only === undefined || candidate.name === only)) {
    await reportDeployment(deployment);
}

async function reportDeployment(deployment: MeasuredService): Promise<void> {
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
    await reportShares(deployment);
}

async function reportShares(deployment: MeasuredService): Promise<void> {
    const { accounts } = deployment;
    const storming = accounts.reduce((largest, account) => account.rate > largest.rate ? account : largest);
    const total = accounts.reduce((sum, account) => sum + account.rate, 0);
    let worst = { ratio: Number.POSITIVE_INFINITY, name: "" };
    for (const seed of seeds) {
        const beside = await measureShares(
            deployment,
            accounts,
            account => account === storming ? STORM_FACTOR : 1,
            seed,
            total,
        );
        for (const account of accounts.filter(other => other !== storming)) {
            const alone = await measureShares(deployment, [account], () => 1, seed, total);
            const ratio = beside.get(account.name)! / alone.get(account.name)!;
            worst = ratio < worst.ratio ? { ratio, name: account.name } : worst;
        }
    }
    const share = (worst.ratio * PERCENT).toFixed(1);
    console.log(`${storming.name} at ${STORM_FACTOR} times its rate: worst-served ${worst.name}, ${share} % of alone`);
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
