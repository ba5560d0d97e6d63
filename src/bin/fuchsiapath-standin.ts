#!/usr/bin/env node
import yargs from "yargs";
import type { z } from "zod";
import { FindingsError } from "../errors/index.js";
import {
    type StandIn,
    standInSettings,
    startHostListStandIn,
    startStoreStandIn,
    startUpstreamStandIns,
} from "../standins/index.js";
import { readJsonFile } from "../utils/index.js";

/* Runs a simulated store, host list or set of upstreams until SIGTERM or SIGINT. */
const INVALID_SETTINGS_EXIT_CODE = 2;
const START_FAILURE_EXIT_CODE = 1;

const settingsOption = { type: "string", describe: "JSON settings file" } as const;
const portOption = { type: "number", describe: "port on loopback; 0 for any", default: 0 } as const;

await yargs(process.argv.slice(2))
    .scriptName("fuchsiapath-standin")
    .usage("$0 <store|hosts|upstream> [options]\nPrints one line of JSON once it listens.")
    .command(
        "store",
        "the platform's key-value store",
        builder => builder.option("settings", settingsOption).option("port", portOption),
        args => run(async () => await startStoreStandIn(await readSettings(standInSettings.store, args))),
    )
    .command(
        "hosts",
        "the platform's list of hosts",
        builder => builder.option("settings", settingsOption).option("port", portOption),
        args => run(async () => await startHostListStandIn(await readSettings(standInSettings.hosts, args))),
    )
    .command(
        "upstream",
        "one or more upstreams",
        builder => builder.option("settings", { ...settingsOption, demandOption: true }),
        args =>
            run(async () => await startUpstreamStandIns(await readJsonFile(args.settings, standInSettings.upstream))),
    )
    .demandCommand(1, "Name a stand-in.")
    .strict()
    .help()
    .parseAsync();

async function readSettings<Schema extends z.ZodType>(
    schema: Schema,
    args: { readonly settings: string | undefined; readonly port: number; },
): Promise<z.output<Schema>> {
    return args.settings === undefined
        ? schema.parse({ port: args.port })
        : await readJsonFile(args.settings, schema);
}

async function run(start: () => Promise<StandIn>): Promise<void> {
    try {
        const standIn = await start();
        console.log(JSON.stringify(standIn.report));
        const stop = (): void => void standIn.stop().finally(() => process.exit());
        process.once("SIGTERM", stop);
        process.once("SIGINT", stop);
    }
    catch (error) {
        reportFailure(error);
    }
}

function reportFailure(error: unknown): void {
    if (error instanceof FindingsError) {
        console.error(error.message);
        process.exitCode = INVALID_SETTINGS_EXIT_CODE;
        return;
    }
    console.error(error);
    process.exitCode = START_FAILURE_EXIT_CODE;
}
