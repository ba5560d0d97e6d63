import type { Argv } from "yargs";
import type { AuditEntry } from "../../configuration/index.js";
import type { TimedDecision } from "../../logging/index.js";
import type { CommandRunner } from "./CommandRunner.js";
import type { GlobalOptions } from "./GlobalOptions.js";

const DEFAULT_AUDIT_LIMIT = 20;

/**
 * Adds the commands that show state: status, explain, audit and outcome.
 * @param parser - The parser of the command line.
 * @param runner - Runs the commands.
 */
export function addStateCommands(parser: Argv<GlobalOptions>, runner: CommandRunner): Argv<GlobalOptions> {
    return parser
        .command(
            "status",
            "show the state of an entry host",
            builder => builder,
            options =>
                runner.run(options, () => {
                    const format = (body: unknown): string => JSON.stringify(body, undefined, 4);
                    return runner.writeResource(options, "/v1/status", format);
                }),
        )
        .command(
            "explain [id] [files..]",
            "show an entry host's decisions and their reasons; with a request's id and log files, why the request ended as it did",
            builder =>
                builder.positional("id", { type: "string", describe: "a request, as the log files name it" })
                    .positional("files", { type: "string", array: true, describe: "log files of all hosts" })
                    .option("request-id", { type: "string", describe: "decisions on this request" })
                    .option("account", { type: "string", describe: "decisions on this client account" })
                    .option("service", { type: "string", describe: "decisions on this service" })
                    .option("upstream", { type: "string", describe: "decisions on this upstream" })
                    .option("member", { type: "string", describe: "decisions on this entry host" }),
            options =>
                runner.run(options, async () => {
                    const { id, files, requestId, account, service, upstream, member } = options;
                    if (id !== undefined) {
                        return await runner.runExplanation(options, id, files ?? []);
                    }
                    const fields = Object.entries({ requestId, account, service, upstream, member })
                        .filter((field): field is [string, string] => field[1] !== undefined);
                    const query = new URLSearchParams(fields).toString();
                    return await runner.writeResource(options, `/v1/explain?${query}`, formatDecisions);
                }),
        )
        .command(
            "outcome <change-id>",
            "show the outcome of an earlier change",
            builder => builder.positional("change-id", { type: "string", demandOption: true }),
            options => runner.run(options, () => runner.findOutcome(options, options.changeId)),
        )
        .command(
            "audit",
            "show who changed what, newest first",
            builder => builder.option("limit", { type: "number", default: DEFAULT_AUDIT_LIMIT, describe: "how many" }),
            options =>
                runner.run(
                    options,
                    () => runner.writeResource(options, `/v1/audit?limit=${options.limit}`, formatAudit),
                ),
        );
}

function formatDecisions(body: { readonly decisions: readonly TimedDecision[]; }): string {
    return body.decisions.map(({ time, decision, reason, figures, ...subjects }) => {
        const details = Object.entries({ ...subjects, ...figures }).map(([name, value]) => `${name}=${value}`);
        return `${new Date(time).toISOString()} ${decision}: ${reason} ${details.join(" ")}`.trimEnd();
    }).join("\n");
}

function formatAudit(body: { readonly entries: readonly AuditEntry[]; }): string {
    return body.entries.map(({ record }) => {
        const { version, time, operator, baseVersion, operations, changeId } = record;
        const heading = `version ${version} ${
            new Date(time).toISOString()
        } ${operator}, from ${baseVersion}, ${changeId}`;
        const lines = operations.map(operation =>
            `    ${operation.kind} ${operation.subject} ${operation.detail ?? ""}`.trimEnd()
        );
        return [heading, ...lines].join("\n");
    }).join("\n");
}
