import type { Argv } from "yargs";
import { ChangeKind, type ChangeOperation, type ConfigurationDocument } from "../../configuration/index.js";
import { FindingsError } from "../../errors/index.js";
import { ExitCode } from "../ExitCode.js";
import { addChangeOptions } from "./addChangeOptions.js";
import type { CommandRunner } from "./CommandRunner.js";
import { compareDocuments } from "./compareDocuments.js";
import type { DocumentDifference } from "./DocumentDifference.js";
import type { GlobalOptions } from "./GlobalOptions.js";
import { readInputDocument } from "./readInputDocument.js";

const SECTION_OPTION = { type: "string", describe: "only this section" } as const;
const FILE_POSITIONAL = { type: "string", demandOption: true, describe: "JSON file of the whole document" } as const;

/**
 * Adds the commands for the whole document: check, diff, apply and show.
 * @param parser - The parser of the command line.
 * @param runner - Runs the commands.
 */
export function addDocumentCommands(parser: Argv<GlobalOptions>, runner: CommandRunner): Argv<GlobalOptions> {
    return parser
        .command(
            "check <file>",
            "check a document without sending it",
            builder =>
                builder.positional("file", FILE_POSITIONAL)
                    .option("zones", { type: "string", array: true, describe: "availability zones that are known" }),
            options =>
                runner.run(options, async () => {
                    await readInputDocument(options.file, options.zones);
                    runner.write(options, { findings: [] }, () => "no findings");
                    return ExitCode.Success;
                }),
        )
        .command(
            "diff <file>",
            "compare a document with the current one",
            builder => builder.positional("file", FILE_POSITIONAL).option("section", SECTION_OPTION),
            options =>
                runner.run(options, async () => {
                    const { document } = await readInputDocument(options.file);
                    const current = await runner.readDocument(options);
                    const differences = compareDocuments(
                        selectSection(current, options.section),
                        selectSection(document, options.section),
                    );
                    runner.write(options, { version: current.version, differences }, formatDifferences);
                    return ExitCode.Success;
                }),
        )
        .command(
            "apply <file>",
            "apply a document or one of its sections; unchanged sections are not sent",
            builder => addChangeOptions(builder.positional("file", FILE_POSITIONAL).option("section", SECTION_OPTION)),
            options =>
                runner.run(options, async () => {
                    const { document, version } = await readInputDocument(options.file);
                    const current = await runner.readDocument(options);
                    const operations = createSectionOperations(current, document, options.section);
                    if (operations.length === 0 && options.changeId !== undefined) {
                        return await runner.findOutcome(options, options.changeId);
                    }
                    if (operations.length === 0) {
                        const result = { version: current.version, operations };
                        runner.write(options, result, () => `nothing to change in version ${result.version}`);
                        return ExitCode.Success;
                    }
                    return await runner.sendChange(options, { operations, knownVersion: version ?? current.version });
                }),
        )
        .command(
            "show",
            "show the current document as JSON, with its version",
            builder => builder.option("section", SECTION_OPTION),
            options =>
                runner.run(options, () => {
                    const query = options.section === undefined
                        ? ""
                        : `?section=${encodeURIComponent(options.section)}`;
                    const format = (body: unknown): string => JSON.stringify(body, undefined, 4);
                    return runner.writeResource(options, `/v1/configuration${query}`, format);
                }),
        );
}

function selectSection(document: ConfigurationDocument, name: string | undefined): ConfigurationDocument {
    if (name === undefined) {
        return document;
    }
    const section = document.sections[name];
    return { sections: section === undefined ? {} : { [name]: section } };
}

function createSectionOperations(
    current: ConfigurationDocument,
    document: ConfigurationDocument,
    name: string | undefined,
): ChangeOperation[] {
    if (name !== undefined && document.sections[name] === undefined) {
        throw new FindingsError([{ place: `sections.${name}`, message: "the file has no such section" }]);
    }
    const before = selectSection(current, name);
    const after = selectSection(document, name);
    const differences = compareDocuments(before, after);
    const sections = [...new Set(differences.map(difference => difference.place.split(".")[1]!))];
    return sections.map(section => {
        const content = after.sections[section];
        return content === undefined ?
            { kind: ChangeKind.RemoveSection, section } :
            { kind: ChangeKind.PutSection, section, content };
    });
}

function formatDifferences(result: { version: number; differences: readonly DocumentDifference[]; }): string {
    const lines = result.differences.map(difference => `${difference.kind.padEnd(7)} ${difference.place}`);
    return [`compared with version ${result.version}: ${lines.length} differences`, ...lines].join("\n");
}
