import type { IncomingMessage, ServerResponse } from "node:http";
import type polka from "polka";
import {
    type Change,
    type ChangeAnswer,
    ChangeAnswerKind,
    changeRequestSchema,
    checkSchema,
    parseJson,
} from "../configuration/index.js";
import { type Finding, FindingsError, StoreUnavailableError, UnexpectedVariantError } from "../errors/index.js";
import type { DecisionFilter } from "../logging/index.js";
import { readBody } from "../utils/index.js";
import { findOperator } from "./findOperator.js";
import type { OperatorApiOptions } from "./OperatorApiOptions.js";
import type { OperatorRequest } from "./OperatorRequest.js";
import type { OperatorResponse } from "./OperatorResponse.js";
import { parseItemChange } from "./parseItemChange.js";

const MAX_BODY_BYTES = 32 * 1024 * 1024;
const DEFAULT_AUDIT_LIMIT = 20;
const MAX_AUDIT_LIMIT = 500;
const STATUS_OK = 200;
const STATUS_ACCEPTED = 202;
const STATUS_BAD_REQUEST = 400;
const STATUS_UNAUTHORIZED = 401;
const STATUS_NOT_FOUND = 404;
const STATUS_CONFLICT = 409;
const STATUS_CONTENT_TOO_LARGE = 413;
const STATUS_INTERNAL_ERROR = 500;
const STATUS_UNAVAILABLE = 503;
const DECISION_FILTER_FIELDS = ["requestId", "account", "service", "upstream", "member"] as const;

type Handler = (request: OperatorRequest) => OperatorResponse | Promise<OperatorResponse>;

/** Serves the operators' HTTP endpoints of an entry host. */
export class OperatorApi {
    readonly #options: OperatorApiOptions;

    /** @param options - The operators and the components that the endpoints use. */
    constructor(options: OperatorApiOptions) {
        this.#options = options;
    }

    /**
     * Adds the operators' routes to an HTTP application.
     * @param app - The application of the operators' listener.
     */
    addRoutes(app: polka.Polka): void {
        this.#addRoute(app, "GET", "/v1/configuration", request => this.#getConfiguration(request));
        this.#addRoute(app, "GET", "/v1/audit", request => this.#getAudit(request));
        this.#addRoute(app, "GET", "/v1/status", () => ({ status: STATUS_OK, body: this.#options.getStatus() }));
        this.#addRoute(app, "GET", "/v1/explain", request => this.#getDecisions(request));
        this.#addRoute(app, "POST", "/v1/changes", request => this.#applyChange(request, request.body));
        this.#addRoute(app, "GET", "/v1/changes", request => this.#findChange(request));
        for (const path of ["/v1/drain/upstream", "/v1/keys", "/v1/keys/withdraw"] as const) {
            this.#addRoute(
                app,
                "POST",
                path,
                request => this.#applyChange(request, parseItemChange(path, request.body)),
            );
        }
    }

    #addRoute(app: polka.Polka, method: "GET" | "POST", path: string, handler: Handler): void {
        app.add(method, path, (request: IncomingMessage, response: ServerResponse) => {
            void this.#sendResponse(request, response, handler);
        });
    }

    async #sendResponse(request: IncomingMessage, response: ServerResponse, handler: Handler): Promise<void> {
        const result = await this.#createResponse(request, handler).catch(createErrorResponse);
        const text = JSON.stringify(result.body);
        response.writeHead(result.status, {
            "content-type": "application/json",
            "content-length": Buffer.byteLength(text),
            ...(result.status === STATUS_UNAUTHORIZED ? { "www-authenticate": "Bearer" } : {}),
        });
        response.end(text);
    }

    async #createResponse(request: IncomingMessage, handler: Handler): Promise<OperatorResponse> {
        const operator = findOperator(this.#options.operators, request.headers.authorization);
        if (operator === undefined) {
            return { status: STATUS_UNAUTHORIZED, body: { title: "A bearer token of an operator is needed." } };
        }
        const bytes = await readBody(request, MAX_BODY_BYTES);
        if (bytes === undefined) {
            return { status: STATUS_CONTENT_TOO_LARGE, body: { title: `The body is over ${MAX_BODY_BYTES} bytes.` } };
        }
        const query = new URL(request.url ?? "/", "http://localhost").searchParams;
        const body = bytes.length === 0 ? undefined : parseJson(bytes.toString());
        return await handler({ operator: operator.name, query, body });
    }

    #getConfiguration(request: OperatorRequest): OperatorResponse {
        const { loader } = this.#options;
        const { version } = loader.getHead();
        const { sections } = loader.getDocument();
        const name = request.query.get("section");
        if (name === null) {
            return { status: STATUS_OK, body: { version, sections } };
        }
        const section = sections[name];
        if (section === undefined) {
            return { status: STATUS_NOT_FOUND, body: { title: `There is no section "${name}".` } };
        }
        return { status: STATUS_OK, body: { version, sections: { [name]: section } } };
    }

    async #getAudit(request: OperatorRequest): Promise<OperatorResponse> {
        const limit = Math.min(Number(request.query.get("limit") ?? DEFAULT_AUDIT_LIMIT) || 0, MAX_AUDIT_LIMIT);
        const entries = await this.#options.auditTrail.read(this.#options.loader.getHead(), limit);
        return { status: STATUS_OK, body: { entries } };
    }

    #getDecisions(request: OperatorRequest): OperatorResponse {
        const fields = DECISION_FILTER_FIELDS.map(field => [field, request.query.get(field) ?? undefined]);
        const filter = Object.fromEntries(fields) as DecisionFilter;
        return { status: STATUS_OK, body: { decisions: this.#options.decisions.find(filter) } };
    }

    async #findChange(request: OperatorRequest): Promise<OperatorResponse> {
        const id = request.query.get("id") ?? "";
        const answer = await this.#options.changeService.findOutcome(id);
        if (answer === undefined) {
            return { status: STATUS_NOT_FOUND, body: { title: `No version has a change "${id}" so far.` } };
        }
        return { status: getHttpStatus(answer), body: answer };
    }

    async #applyChange(request: OperatorRequest, body: unknown): Promise<OperatorResponse> {
        const findings: Finding[] = [];
        const change = checkSchema(changeRequestSchema, body, "", findings);
        if (change === undefined) {
            throw new FindingsError(findings);
        }
        const answer = await this.#options.changeService.apply({ ...change, operator: request.operator } as Change);
        return { status: getHttpStatus(answer), body: answer };
    }
}

function getHttpStatus(answer: ChangeAnswer): number {
    switch (answer.kind) {
        case ChangeAnswerKind.Accepted:
            return STATUS_OK;
        case ChangeAnswerKind.Refused:
            return STATUS_CONFLICT;
        case ChangeAnswerKind.Unconfirmed:
            return STATUS_ACCEPTED;
        case ChangeAnswerKind.Unavailable:
            return STATUS_UNAVAILABLE;
        default:
            throw new UnexpectedVariantError(answer);
    }
}

function createErrorResponse(error: unknown): OperatorResponse {
    if (error instanceof FindingsError) {
        return { status: STATUS_BAD_REQUEST, body: { title: "The request is malformed.", findings: error.findings } };
    }
    if (error instanceof StoreUnavailableError) {
        return { status: STATUS_UNAVAILABLE, body: { title: error.message } };
    }
    return { status: STATUS_INTERNAL_ERROR, body: { title: error instanceof Error ? error.message : String(error) } };
}
