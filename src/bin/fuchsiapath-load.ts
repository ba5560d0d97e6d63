#!/usr/bin/env node
import { writeFile } from "node:fs/promises";
import yargs from "yargs";
import { z } from "zod";
import { FindingsError } from "../errors/index.js";
import { createHttpRun, formatReport, type LoadRun, parseExperiment } from "../load/index.js";
import { SystemClock } from "../time/index.js";
import { readJsonFile } from "../utils/index.js";

/* Runs an experiment: open-loop load with fault injection, then an audit of the results against the upstreams' records. */
const CHECKS_FAILED_EXIT_CODE = 1;
const INVALID_INPUT_EXIT_CODE = 2;
const PROGRESS_INTERVAL_MS = 1_000;
const MS_PER_SECOND = 1_000;

const keyFileSchema = z.object({ keys: z.array(z.object({ account: z.string(), key: z.string() })) });

const args = await yargs(process.argv.slice(2))
    .scriptName("fuchsiapath-load")
    .usage("$0 --experiment FILE --entry URL [options]\nExit code 0 if clean, 1 if not, 2 for findings in the input.")
    .option("experiment", { type: "string", demandOption: true, describe: "JSON experiment file" })
    .option("keys", { type: "string", describe: "JSON file with the accounts' keys" })
    .option("entry", { type: "string", array: true, default: [], describe: "caller address, as http://ip:port" })
    .option("records", { type: "string", array: true, default: [], describe: "URL of upstream records" })
    .option("target", { type: "string", array: true, default: [], describe: "NAME=URL that faults name" })
    .option("process", { type: "string", array: true, default: [], describe: "NAME=PID that faults name" })
    .option("seed", { type: "number", describe: "seed instead of the experiment's" })
    .option("out", { type: "string", describe: "file for the results as JSON" })
    .option("json", { type: "boolean", default: false, describe: "print JSON instead of the table" })
    .option("quiet", { type: "boolean", default: false, describe: "print no progress" })
    .strict()
    .help()
    .parseAsync();

try {
    await runLoad();
}
catch (error) {
    if (!(error instanceof FindingsError)) {
        throw error;
    }
    console.error(error.message);
    process.exitCode = INVALID_INPUT_EXIT_CODE;
}

async function runLoad(): Promise<void> {
    const clock = new SystemClock();
    const experiment = await readExperiment();
    const run = createHttpRun(experiment, clock);
    const controller = new AbortController();
    const progress = args.quiet ? undefined : reportProgress(run, experiment.durationMs, controller.signal);
    const report = await run.run();
    controller.abort();
    await progress;
    const json = JSON.stringify(report, undefined, 4) + "\n";
    if (args.out !== undefined) {
        await writeFile(args.out, json);
    }
    process.stdout.write(args.json ? json : formatReport(report));
    process.exitCode = report.isClean ? 0 : CHECKS_FAILED_EXIT_CODE;

    async function reportProgress(running: LoadRun, durationMs: number, signal: AbortSignal): Promise<void> {
        const startedAt = clock.getTime();
        while (!signal.aborted) {
            await clock.wait(PROGRESS_INTERVAL_MS, signal).catch(() => {});
            const seconds = ((clock.getTime() - startedAt) / MS_PER_SECOND).toFixed(0);
            const finished = running.results.getResults().length;
            const total = durationMs / MS_PER_SECOND;
            console.error(`${seconds}/${total} s: sent ${running.results.getSent()}, finished ${finished}`);
        }
    }
}

async function readExperiment(): Promise<ReturnType<typeof parseExperiment>> {
    const keys = args.keys === undefined ? { keys: [] } : await readJsonFile(args.keys, keyFileSchema);
    const content = await readJsonFile(args.experiment, z.looseObject({}));
    const experiment = parseExperiment(content, {
        entries: args.entry,
        records: args.records,
        targets: parsePairs(args.target),
        processes: Object.fromEntries(
            Object.entries(parsePairs(args.process)).map(([name, id]) => [name, Number(id)]),
        ),
        keys: Object.fromEntries(keys.keys.map(entry => [entry.account, entry.key])),
    });
    return args.seed === undefined ? experiment : { ...experiment, seed: args.seed };
}

function parsePairs(pairs: readonly string[]): Record<string, string> {
    return Object.fromEntries(pairs.map(pair => {
        const end = pair.indexOf("=");
        return [pair.slice(0, end), pair.slice(end + 1)];
    }));
}
