import { cpus, loadavg } from "node:os";
import yargs from "yargs";
import { findSmallerPlan } from "./findSmallerPlan.js";
import { createSoakPlan } from "./plan/createSoakPlan.js";
import type { SoakPlan } from "./plan/SoakPlan.js";
import { SoakProfile } from "./plan/SoakProfile.js";
import type { PromiseBounds } from "./promises/PromiseBounds.js";
import { runSoak } from "./runSoak.js";
import type { SoakResult } from "./SoakResult.js";
import { writeSoakReport } from "./writeSoakReport.js";

/* Runs seeds of the soak one after another; exit code 1 if a promise was broken. */

/** The bounds of the platform's sites. */
const BOUNDS: PromiseBounds = { contactMs: 3_000, applyMs: 2_000, drainMs: 2_000, recoveryMs: 15_000 };
const MAX_SEED = 1_000_000;
/** Several times the usual duration of a run, in milliseconds. */
const RUN_TIMEOUT_MS = 300_000;
const STUCK_EXIT_CODE = 2;

const options = await yargs(process.argv.slice(2))
    .option("seeds", { type: "number", default: 1, describe: "number of seeds" })
    .option("seed", { type: "number", describe: "the first seed; a fresh one by default" })
    .option("hosts", { type: "number", default: 6, describe: "entry host processes" })
    .option("steps", { type: "number", default: 48, describe: "steps of 250 ms in which faults begin" })
    .option("profile", { choices: Object.values(SoakProfile), default: SoakProfile.Faults, describe: "what happens" })
    .option("shrink", { type: "number", default: 0, describe: "runs to make a failing plan smaller" })
    .option("out", { type: "string", default: "target/soak", describe: "folder of the reports of failing runs" })
    .option("until-found", { type: "string", describe: "stop after the first seed that breaks this promise" })
    .strict()
    .parse();

process.once("SIGINT", () => process.exit(130));
process.once("SIGTERM", () => process.exit(143));
const first = options.seed ?? Math.floor(Math.random() * MAX_SEED);
let failedSeeds = 0;
for (let seed = first; seed < first + options.seeds; seed++) {
    const result = await runAndReport(createSoakPlan(seed, options));
    if (result.findings.length > 0) {
        failedSeeds++;
        await findSmallerPlan(result.plan, options.shrink, runAndReport);
    }
    if (result.findings.some(({ promise }) => promise === options.untilFound)) {
        break;
    }
}
console.log(`${failedSeeds} of the seeds ${first} to ${first + options.seeds - 1} broke a promise`);
process.exit(failedSeeds === 0 ? 0 : 1);

async function runAndReport(plan: SoakPlan): Promise<SoakResult> {
    let stage = "";
    const timeout = setTimeout(() => {
        console.log(`seed ${plan.seed}: stuck at: ${stage}; open: ${process.getActiveResourcesInfo().join(" ")}`);
        process.exit(STUCK_EXIT_CODE);
    }, RUN_TIMEOUT_MS);
    const result = await runSoak(plan, BOUNDS, next => (stage = next));
    clearTimeout(timeout);
    const { findings, calls, runs, longestDelayMs } = result;
    const served = [...calls.values()].filter(({ response }) => response?.status === 200).length;
    const load = `load ${loadavg()[0]!.toFixed(1)} of ${cpus().length}`;
    const figures = `${plan.faults.length} faults, ${calls.size} requests, ${served} served, ${runs.length} runs`;
    console.log(`seed ${plan.seed}: ${figures}, late by ${longestDelayMs} ms at most, ${load}`);
    if (findings.length > 0) {
        findings.slice(0, 5).forEach(({ promise, detail, requests }) =>
            console.log(`    ${promise} ${requests.slice(0, 1).join("")} ${detail}`)
        );
        console.log(`    ${findings.length} findings, see ${writeSoakReport(options.out, result)}/report.md`);
    }
    return result;
}
