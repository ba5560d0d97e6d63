import { randomUUID } from "node:crypto";
import { type ChangeAnswer, ChangeAnswerKind, type ConfigurationDocument } from "../../configuration/index.js";
import { type Finding, FindingsError, OperatorUnreachableError, UnexpectedVariantError } from "../../errors/index.js";
import { CauseKind, findExplanation, formatExplanation } from "../../explanation/index.js";
import { ExitCode } from "../ExitCode.js";
import { OperatorClient } from "../OperatorClient.js";
import type { OperatorResponse } from "../OperatorResponse.js";
import type { ChangeOptions } from "./ChangeOptions.js";
import type { CommandChange } from "./CommandChange.js";
import type { CommandOutput } from "./CommandOutput.js";
import type { GlobalOptions } from "./GlobalOptions.js";

const STATUS_OK = 200;
const STATUS_BAD_REQUEST = 400;
const STATUS_UNAVAILABLE = 503;

/** Runs commands of the operators' command line, prints their results and sets the exit code. */
export class CommandRunner {
    /** The exit code of the last command. */
    exitCode = ExitCode.Success;
    readonly #output: CommandOutput;

    /** @param output - The output streams. */
    constructor(output: CommandOutput) {
        this.#output = output;
    }

    /**
     * Runs a command and reports the error if it throws.
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
     * @param format - Formats the value as text.
     */
    write<T>(options: GlobalOptions, value: T, format: (value: T) => string): void {
        this.#output.write(options.json ? JSON.stringify(value, undefined, 2) : format(value));
    }

    /**
     * Gets a resource from an entry host and writes it.
     * @param options - The options of all commands.
     * @param path - Path with query.
     * @param format - Formats the body as text.
     */
    async writeResource(options: GlobalOptions, path: string, format: (body: never) => string): Promise<ExitCode> {
        const response = await createClient(options).get(path);
        if (response.status !== STATUS_OK) {
            return this.#reportErrorResponse(options, response);
        }
        this.write(options, response.body, format as (body: unknown) => string);
        return ExitCode.Success;
    }

    /**
     * Writes why a request ended as it did, from log files.
     * @param options - The options of all commands.
     * @param requestId - The request's id.
     * @param files - Log files of the hosts.
     */
    async runExplanation(options: GlobalOptions, requestId: string, files: readonly string[]): Promise<ExitCode> {
        if (files.length === 0) {
            throw new FindingsError([{
                place: "files",
                message: "explain with a request's id needs the hosts' log files",
            }]);
        }
        const explanation = await findExplanation(requestId, files);
        this.write(options, explanation, formatExplanation);
        return explanation.cause.kind === CauseKind.NotFound ? ExitCode.Refused : ExitCode.Success;
    }

    /**
     * Reads the current document with its version.
     * @param options - The options of all commands.
     */
    async readDocument(options: GlobalOptions): Promise<ConfigurationDocument & { readonly version: number; }> {
        const response = await createClient(options).get("/v1/configuration");
        if (response.status !== STATUS_OK) {
            throw new FindingsError([{ place: "configuration", message: formatErrorTitle(response) }]);
        }
        return response.body as ConfigurationDocument & { readonly version: number; };
    }

    /**
     * Sends a change and reports its outcome.
     * @param options - The options of commands that change the configuration.
     * @param change - The change.
     */
    async sendChange(options: ChangeOptions, change: CommandChange): Promise<ExitCode> {
        const { operations, knownVersion, details } = change;
        const baseVersion = options.base ?? knownVersion ?? (await this.readDocument(options)).version;
        const id = options.changeId ?? randomUUID();
        try {
            const response = await createClient(options).send("/v1/changes", { id, baseVersion, operations });
            return this.#reportChange(options, response, { changeId: id, baseVersion, ...details });
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
     * Queries the outcome of an earlier change and reports it.
     * @param options - The options of all commands.
     * @param changeId - The change's id.
     */
    async findOutcome(options: GlobalOptions, changeId: string): Promise<ExitCode> {
        const response = await createClient(options).get(`/v1/changes?id=${encodeURIComponent(changeId)}`);
        return this.#reportChange(options, response, { changeId });
    }

    #reportChange(
        options: GlobalOptions,
        response: OperatorResponse,
        details: Readonly<Record<string, unknown>>,
    ): ExitCode {
        const body = response.body as ChangeAnswer;
        if (!Object.values(ChangeAnswerKind).includes(body.kind)) {
            return this.#reportErrorResponse(options, response);
        }
        this.write(options, { ...details, ...body }, () => `${formatChangeAnswer(body)}\n${formatFields(details)}`);
        switch (body.kind) {
            case ChangeAnswerKind.Accepted:
                return ExitCode.Success;
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

    #reportErrorResponse(options: GlobalOptions, response: OperatorResponse): ExitCode {
        const { findings } = response.body as { findings?: readonly Finding[]; };
        const text = findings === undefined ? formatErrorTitle(response) : formatFindings(findings);
        this.#output.writeError(options.json ? JSON.stringify(response.body) : text);
        switch (response.status) {
            case STATUS_BAD_REQUEST:
                return ExitCode.InvalidInput;
            case STATUS_UNAVAILABLE:
                return ExitCode.Unreachable;
            default:
                return ExitCode.Refused;
        }
    }

    #reportError(options: GlobalOptions, error: unknown): ExitCode {
        if (error instanceof FindingsError) {
            const { findings } = error;
            this.#output.writeError(options.json ? JSON.stringify({ findings }) : formatFindings(findings));
            return ExitCode.InvalidInput;
        }
        const message = error instanceof Error ? error.message : String(error);
        this.#output.writeError(options.json ? JSON.stringify({ title: message }) : message);
        return error instanceof OperatorUnreachableError ? ExitCode.Unreachable : ExitCode.InvalidInput;
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
            return `stored as version ${answer.version}, not confirmed yet; query it with "outcome"`;
        case ChangeAnswerKind.Unavailable:
            return `${answer.detail}\nretry with the same --change-id and --base, or query it with "outcome"`;
        default:
            throw new UnexpectedVariantError(answer);
    }
}

function formatFields(fields: Readonly<Record<string, unknown>>): string {
    return Object.entries(fields).map(([name, value]) => `${name}: ${String(value)}`).join("\n");
}

function formatErrorTitle(response: OperatorResponse): string {
    const { title } = response.body as { title?: string; };
    return title ?? `The entry host answered with status ${response.status}.`;
}

function formatFindings(findings: readonly Finding[]): string {
    return findings.map(finding => `${finding.place}: ${finding.message}`).join("\n");
}
