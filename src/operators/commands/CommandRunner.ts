import { randomUUID } from "node:crypto";
import { type ChangeAnswer, ChangeAnswerKind, type ConfigurationDocument } from "../../configuration/index.js";
import { type Finding, FindingsError, OperatorUnreachableError, UnexpectedVariantError } from "../../errors/index.js";
import { CauseKind, findExplanation, formatExplanation } from "../../explanation/index.js";
import { ExitCode } from "../ExitCode.js";
import type { OperatorAnswer } from "../OperatorAnswer.js";
import { OperatorClient } from "../OperatorClient.js";
import type { ChangeOptions } from "./ChangeOptions.js";
import type { CommandChange } from "./CommandChange.js";
import type { CommandOutput } from "./CommandOutput.js";
import type { GlobalOptions } from "./GlobalOptions.js";

const STATUS_OK = 200;
const STATUS_BAD_REQUEST = 400;
const STATUS_UNAVAILABLE = 503;

/** Runs commands of the operators' program and turns what comes of them into output and an exit code. */
export class CommandRunner {
    /** The exit code of the command that ran. */
    exitCode = ExitCode.Done;
    readonly #output: CommandOutput;

    /** @param output - Where it writes. */
    constructor(output: CommandOutput) {
        this.#output = output;
    }

    /**
     * Runs a command and reports what it throws.
     * @param options - The options of all commands.
     * @param command - The command; returns its exit code.
     */
    async run(options: GlobalOptions, command: () => ExitCode | Promise<ExitCode>): Promise<void> {
        try {
            this.exitCode = await command();
        }
        catch (error) {
            this.exitCode = this.#reportError(options, error);
        }
    }

    /**
     * Writes a value as JSON or as text.
     * @param options - The options of all commands.
     * @param value - The value.
     * @param format - Formats it as text.
     */
    write<T>(options: GlobalOptions, value: T, format: (value: T) => string): void {
        this.#output.write(options.json ? JSON.stringify(value, undefined, 2) : format(value));
    }

    /**
     * Gets a resource of an entry host and writes it.
     * @param options - The options of all commands.
     * @param path - Path with query.
     * @param format - Formats the body as text.
     */
    async writeResource(options: GlobalOptions, path: string, format: (body: never) => string): Promise<ExitCode> {
        const answer = await createClient(options).get(path);
        if (answer.status !== STATUS_OK) {
            return this.#reportFailure(options, answer);
        }
        this.write(options, answer.body, format as (body: unknown) => string);
        return ExitCode.Done;
    }

    /**
     * Explains from log files what became of a request, and writes it.
     * @param options - The options of all commands.
     * @param requestId - The request.
     * @param files - Log files of the hosts.
     */
    async runExplanation(options: GlobalOptions, requestId: string, files: readonly string[]): Promise<ExitCode> {
        if (files.length === 0) {
            throw new FindingsError([{ place: "files", message: "explain needs the hosts' log files beside an id" }]);
        }
        const explanation = await findExplanation(requestId, files);
        this.write(options, explanation, formatExplanation);
        return explanation.cause.kind === CauseKind.NotFound ? ExitCode.Refused : ExitCode.Done;
    }

    /**
     * Reads the document in force with its version.
     * @param options - The options of all commands.
     */
    async readDocument(options: GlobalOptions): Promise<ConfigurationDocument & { readonly version: number; }> {
        const answer = await createClient(options).get("/v1/configuration");
        if (answer.status !== STATUS_OK) {
            throw new FindingsError([{ place: "configuration", message: formatTitle(answer) }]);
        }
        return answer.body as ConfigurationDocument & { readonly version: number; };
    }

    /**
     * Sends a change and reports what became of it.
     * @param options - The options of commands that change the configuration.
     * @param change - The change.
     */
    async sendChange(options: ChangeOptions, change: CommandChange): Promise<ExitCode> {
        const { operations, knownVersion, details } = change;
        const baseVersion = options.base ?? knownVersion ?? (await this.readDocument(options)).version;
        const id = options.changeId ?? randomUUID();
        try {
            const answer = await createClient(options).send("/v1/changes", { id, baseVersion, operations });
            return this.#reportChange(options, answer, { changeId: id, baseVersion, ...details });
        }
        catch (error) {
            if (error instanceof OperatorUnreachableError && !error.isNotSent) {
                const result = { changeId: id, baseVersion, ...details, detail: error.message };
                this.write(options, result, formatFields);
                return ExitCode.Unconfirmed;
            }
            throw error;
        }
    }

    /**
     * Asks for the outcome of an earlier change and reports it.
     * @param options - The options of all commands.
     * @param changeId - The change's id.
     */
    async findOutcome(options: GlobalOptions, changeId: string): Promise<ExitCode> {
        const answer = await createClient(options).get(`/v1/changes?id=${encodeURIComponent(changeId)}`);
        return this.#reportChange(options, answer, { changeId });
    }

    #reportChange(
        options: GlobalOptions,
        answer: OperatorAnswer,
        details: Readonly<Record<string, unknown>>,
    ): ExitCode {
        const body = answer.body as ChangeAnswer;
        if (!Object.values(ChangeAnswerKind).includes(body.kind)) {
            return this.#reportFailure(options, answer);
        }
        this.write(options, { ...details, ...body }, () => `${formatChangeAnswer(body)}\n${formatFields(details)}`);
        switch (body.kind) {
            case ChangeAnswerKind.Accepted:
                return ExitCode.Done;
            case ChangeAnswerKind.Refused:
                return ExitCode.Refused;
            case ChangeAnswerKind.Unconfirmed:
                return ExitCode.Unconfirmed;
            case ChangeAnswerKind.Unavailable:
                return body.isOutcomeUnknown ? ExitCode.Unconfirmed : ExitCode.Unreachable;
            default:
                throw new UnexpectedVariantError(body);
        }
    }

    #reportFailure(options: GlobalOptions, answer: OperatorAnswer): ExitCode {
        const { findings } = answer.body as { findings?: readonly Finding[]; };
        const text = findings === undefined ? formatTitle(answer) : formatFindings(findings);
        this.#output.report(options.json ? JSON.stringify(answer.body) : text);
        switch (answer.status) {
            case STATUS_BAD_REQUEST:
                return ExitCode.BadInput;
            case STATUS_UNAVAILABLE:
                return ExitCode.Unreachable;
            default:
                return ExitCode.Refused;
        }
    }

    #reportError(options: GlobalOptions, error: unknown): ExitCode {
        if (error instanceof FindingsError) {
            const { findings } = error;
            this.#output.report(options.json ? JSON.stringify({ findings }) : formatFindings(findings));
            return ExitCode.BadInput;
        }
        const message = error instanceof Error ? error.message : String(error);
        this.#output.report(options.json ? JSON.stringify({ title: message }) : message);
        return error instanceof OperatorUnreachableError ? ExitCode.Unreachable : ExitCode.BadInput;
    }
}

function createClient(options: GlobalOptions): OperatorClient {
    if (options.address.length === 0) {
        throw new FindingsError([{ place: "--address", message: "an operators' address of an entry host is needed" }]);
    }
    return new OperatorClient(options.address, options.token ?? "");
}

function formatChangeAnswer(answer: ChangeAnswer): string {
    switch (answer.kind) {
        case ChangeAnswerKind.Accepted:
            return `accepted: version ${answer.version}`;
        case ChangeAnswerKind.Refused:
            return `refused:\n${formatFindings(answer.findings)}`;
        case ChangeAnswerKind.Unconfirmed:
            return `stored as version ${answer.version}, not confirmed yet; ask again with "outcome"`;
        case ChangeAnswerKind.Unavailable:
            return `${answer.detail}\nask again with the same --change-id and --base, or with "outcome"`;
        default:
            throw new UnexpectedVariantError(answer);
    }
}

function formatFields(fields: Readonly<Record<string, unknown>>): string {
    return Object.entries(fields).map(([name, value]) => `${name}: ${String(value)}`).join("\n");
}

function formatTitle(answer: OperatorAnswer): string {
    const { title } = answer.body as { title?: string; };
    return title ?? `The entry host answered with status ${answer.status}.`;
}

function formatFindings(findings: readonly Finding[]): string {
    return findings.map(finding => `${finding.place}: ${finding.message}`).join("\n");
}
