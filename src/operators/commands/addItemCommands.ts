import type { Argv } from "yargs";
import { ChangeKind, createKey } from "../../configuration/index.js";
import { addChangeOptions } from "./addChangeOptions.js";
import type { CommandRunner } from "./CommandRunner.js";
import type { GlobalOptions } from "./GlobalOptions.js";

const DEFAULT_SECTION = "accounts";
const SECTION_OPTION = {
    type: "string",
    default: DEFAULT_SECTION,
    describe: "section that holds the item",
} as const;

/**
 * Adds the commands that change one item: account, key and drain.
 * @param parser - The parser of the command line.
 * @param runner - Runs the commands.
 */
export function addItemCommands(parser: Argv<GlobalOptions>, runner: CommandRunner): Argv<GlobalOptions> {
    return parser
        .command("account", "set or remove a client account", builder => addAccountCommands(builder, runner))
        .command("key", "create or withdraw a key", builder => addKeyCommands(builder, runner))
        .command(
            "drain <upstream>",
            "stop sending new requests to an upstream, or resume",
            builder =>
                addChangeOptions(
                    builder.positional("upstream", { type: "string", demandOption: true })
                        .option("restore", { type: "boolean", default: false, describe: "resume sending requests" }),
                ),
            options =>
                runner.run(options, () => {
                    const { upstream, restore } = options;
                    const operation = { kind: ChangeKind.DrainUpstream, upstream, draining: !restore } as const;
                    return runner.sendChange(options, { operations: [operation] });
                }),
        );
}

function addAccountCommands(parser: Argv<GlobalOptions>, runner: CommandRunner): Argv<GlobalOptions> {
    return parser
        .command(
            "set <name>",
            "create an account or change its rate and burst",
            builder =>
                addChangeOptions(
                    builder.positional("name", { type: "string", demandOption: true })
                        .option("section", SECTION_OPTION)
                        .option("rate", { type: "number", demandOption: true, describe: "requests per second" })
                        .option("burst", { type: "number", demandOption: true, describe: "requests at once" }),
                ),
            options =>
                runner.run(options, () => {
                    const { name, rate, burst, section } = options;
                    const operation = { kind: ChangeKind.PutAccount, section, account: { name, rate, burst } } as const;
                    return runner.sendChange(options, { operations: [operation] });
                }),
        )
        .command(
            "remove <name>",
            "remove an account with its keys",
            builder => addChangeOptions(builder.positional("name", { type: "string", demandOption: true })),
            options =>
                runner.run(options, () => {
                    const operation = { kind: ChangeKind.RemoveAccount, account: options.name } as const;
                    return runner.sendChange(options, { operations: [operation] });
                }),
        )
        .demandCommand(1);
}

function addKeyCommands(parser: Argv<GlobalOptions>, runner: CommandRunner): Argv<GlobalOptions> {
    return parser
        .command(
            "create <account>",
            "create a key; its text is printed once, and only its salted hash is sent",
            builder =>
                addChangeOptions(
                    builder.positional("account", { type: "string", demandOption: true })
                        .option("section", SECTION_OPTION),
                ),
            options =>
                runner.run(options, () => {
                    const { text, record } = createKey(options.account);
                    const operation = { kind: ChangeKind.PutKey, section: options.section, key: record } as const;
                    const details = { keyId: record.id, key: text };
                    return runner.sendChange(options, { operations: [operation], details });
                }),
        )
        .command(
            "withdraw <id>",
            "withdraw a key by its public part, before the dot",
            builder => addChangeOptions(builder.positional("id", { type: "string", demandOption: true })),
            options =>
                runner.run(options, () => {
                    const operation = { kind: ChangeKind.WithdrawKey, keyId: options.id } as const;
                    return runner.sendChange(options, { operations: [operation] });
                }),
        )
        .demandCommand(1);
}
