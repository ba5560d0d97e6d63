#!/usr/bin/env node
import { readFileSync } from "node:fs";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { EntryProcess } from "../entry/index.js";
import { FindingsError } from "../errors/index.js";
import { createLogger, recordUnhandledRejections } from "../logging/index.js";
import { parseEntrySettings } from "../settings/index.js";
import type { EntrySettings } from "../settings/index.js";

const INVALID_SETTINGS_EXIT_CODE = 2;

const options = await yargs(hideBin(process.argv))
    .scriptName("fuchsiapath-entry")
    .usage("$0 --settings FILE\n\nRuns an entry host until SIGTERM or SIGINT, then stops gracefully.")
    .option("settings", { type: "string", demandOption: true, describe: "settings file in JSON" })
    .option("check", { type: "boolean", default: false, describe: "only check the settings" })
    .strict()
    .parse();

const settings = readSettings(options.settings);
if (settings === undefined) {
    process.exitCode = INVALID_SETTINGS_EXIT_CODE;
}
else if (!options.check) {
    await runEntryHost(settings);
}

function readSettings(file: string): EntrySettings | undefined {
    try {
        return parseEntrySettings(readFileSync(file, "utf8"));
    }
    catch (error) {
        if (error instanceof FindingsError) {
            error.findings.forEach(finding => console.error(`${file}: ${finding.place}: ${finding.message}`));
        }
        else {
            console.error(`${file}: ${(error as Error).message}`);
        }
        return undefined;
    }
}

async function runEntryHost(entrySettings: EntrySettings): Promise<void> {
    const logger = createLogger("fuchsiapath-entry", entrySettings.logLevel, process.stderr, entrySettings.id);
    recordUnhandledRejections(logger);
    const entry = new EntryProcess(entrySettings, logger);
    await entry.start();
    const stop = (): void => {
        void entry.stop().then(() => process.exit(0), error => {
            logger.error({ err: error as Error }, "shutdown failed");
            process.exit(1);
        });
    };
    process.once("SIGTERM", stop);
    process.once("SIGINT", stop);
}
