import yargs, { type Argv } from "yargs";
import { ExitCode } from "../ExitCode.js";
import { addDocumentCommands } from "./addDocumentCommands.js";
import { addItemCommands } from "./addItemCommands.js";
import { addStateCommands } from "./addStateCommands.js";
import type { CommandOutput } from "./CommandOutput.js";
import { CommandRunner } from "./CommandRunner.js";
import type { GlobalOptions } from "./GlobalOptions.js";

const LINE_WIDTH = 120;
const EXIT_CODES_HELP = [
    "Exit codes:",
    "  0  done",
    "  1  refused, or not found",
    "  2  malformed input; all findings are printed",
    "  3  no entry host could be reached, or the store was unavailable; nothing was stored",
    "  4  stored, or possibly stored, but not confirmed; retry with the same --change-id and --base",
].join("\n");

/**
 * Runs the operators' command line and returns its exit code.
 * @param args - The command line without the program's name.
 * @param environment - The environment variables; FUCHSIAPATH_ADDRESS (comma-separated) and FUCHSIAPATH_TOKEN are defaults for options.
 * @param output - The output streams.
 */
export async function runCommandLine(
    args: readonly string[],
    environment: Readonly<Record<string, string | undefined>>,
    output: CommandOutput,
): Promise<ExitCode> {
    const runner = new CommandRunner(output);
    const parser = addCommands(createParser(environment), runner);
    let hasUsageError = false;
    await parser.parseAsync([...args], {}, (error: Error | undefined, _argv: unknown, text: string) => {
        hasUsageError = error !== undefined && error !== null;
        if (text !== "") {
            (hasUsageError ? output.writeError : output.write)(text);
        }
    }).catch(() => {});
    return hasUsageError ? ExitCode.InvalidInput : runner.exitCode;
}

function createParser(environment: Readonly<Record<string, string | undefined>>): Argv<GlobalOptions> {
    const parser = yargs()
        .scriptName("fuchsiapath")
        .locale("en")
        .usage("$0 <command> [options]\nOperators' commands for a fleet of entry hosts.")
        .option("address", {
            type: "string",
            array: true,
            describe: "operators' addresses of entry hosts, tried in turn",
            default: environment.FUCHSIAPATH_ADDRESS?.split(",") ?? [],
            defaultDescription: "$FUCHSIAPATH_ADDRESS",
        })
        .option("token", {
            type: "string",
            describe: "the operator's bearer token; better given as $FUCHSIAPATH_TOKEN",
        })
        .option("json", { type: "boolean", default: false, describe: "write JSON" })
        .middleware(options => void (options.token ??= environment.FUCHSIAPATH_TOKEN))
        .epilogue(EXIT_CODES_HELP)
        .version(false)
        .help()
        .wrap(LINE_WIDTH)
        .strict()
        .exitProcess(false);
    return parser as unknown as Argv<GlobalOptions>;
}

function addCommands(parser: Argv<GlobalOptions>, runner: CommandRunner): Argv<GlobalOptions> {
    addDocumentCommands(parser, runner);
    addItemCommands(parser, runner);
    addStateCommands(parser, runner);
    return parser.demandCommand(1, "A command is needed.");
}
