import { createServer } from "node:http";
import type { IncomingMessage, Server } from "node:http";
import polka from "polka";
import { closeBody, createNotRun, OutcomeKind, RefusalReason } from "../outcomes/index.js";
import type { Outcome } from "../outcomes/index.js";
import { openServer, readBody } from "../utils/index.js";
import type { CallerAnswer } from "./CallerAnswer.js";
import { CallerConnections } from "./CallerConnections.js";
import type { CallerListenerOptions } from "./CallerListenerOptions.js";
import { checkBody } from "./checkBody.js";
import { parseCredentials } from "./parseCredentials.js";
import type { PreparedAnswer } from "./PreparedAnswer.js";
import type { PreparedRequest } from "./PreparedRequest.js";
import { RefusalError } from "./RefusalError.js";
import { sendCallerAnswer } from "./sendCallerAnswer.js";

const MAX_HEADER_BYTES = 16 * 1024;
const KEEP_ALIVE_MS = 60_000;
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 60_000;
const NO_REQUEST_ID = "-";

/** The HTTP listener for callers: address lookups, queries for order outcomes, and requests on routes. */
export class CallerListener {
    readonly #options: CallerListenerOptions;
    readonly #server: Server;
    readonly #connections: CallerConnections;

    /** @param options - The handlers of requests and lookups. */
    constructor(options: CallerListenerOptions) {
        this.#options = options;
        this.#server = createServer({
            maxHeaderSize: MAX_HEADER_BYTES,
            keepAliveTimeout: KEEP_ALIVE_MS,
            headersTimeout: HEADERS_TIMEOUT_MS,
            requestTimeout: REQUEST_TIMEOUT_MS,
        });
        this.#connections = new CallerConnections({
            clock: options.clock,
            server: this.#server,
            prepare: request => this.#createPreparedRequest(request),
        });
        this.#addRoutes();
    }

    /**
     * Starts to listen and returns the port.
     * @param address - "ip:port"; port 0 for any free port.
     */
    async start(address: string): Promise<number> {
        return await openServer(this.#server, address);
    }

    /** Reads no more requests of connections in use, waits for their answers, stops listening and closes all connections. */
    async stop(): Promise<void> {
        this.#connections.stop();
        await this.#connections.waitForIdle();
        const closed = new Promise<void>(resolve => this.#server.close(() => resolve()));
        this.#server.closeIdleConnections();
        await closed;
    }

    /** Closes all connections at once, including those with an answer in progress. */
    closeConnections(): void {
        this.#server.closeAllConnections();
    }

    #addRoutes(): void {
        const app = polka({
            server: this.#server,
            onNoMatch: (request, response) => this.#connections.add(request, response),
        });
        app.get("/v1/addresses", (request, response) => {
            this.#connections.add(request, response, createOwnRequest(async () => this.#createAddressAnswer(request)));
        });
        app.get("/v1/orders/:key", (request, response) => {
            const key = String(request.params.key);
            this.#connections.add(request, response, createOwnRequest(() => this.#createOrderAnswer(request, key)));
        });
        this.#server.on("request", (request, response) => {
            if (request.headers.upgrade === undefined) {
                app.handler(request as polka.Request, response);
                return;
            }
            response.shouldKeepAlive = false;
            this.#connections.add(request, response, createOwnRequest(refuseUpgrade));
        });
    }

    #createAddressAnswer(request: IncomingMessage): PreparedAnswer {
        const credentials = parseCredentials(getHeaders(request));
        const account = credentials === undefined
            ? undefined
            : this.#options.requestHandler.getAccount(credentials);
        const body = JSON.stringify(this.#options.lookup.getAddresses(account));
        return {
            send: async response => void response.writeHead(200, { "content-type": "application/json" }).end(body),
            cancel: () => {},
        };
    }

    async #createOrderAnswer(request: IncomingMessage, key: string): Promise<PreparedAnswer> {
        this.#options.requestHandler.checkServing();
        const credentials = parseCredentials(getHeaders(request));
        if (credentials === undefined) {
            throw new RefusalError(RefusalReason.UnknownKey, "An order's outcome needs a key.");
        }
        const account = this.#options.requestHandler.getAccount(credentials);
        return createOwnAnswer(await this.#options.findOrder(account.name, key));
    }

    #createPreparedRequest(request: IncomingMessage): PreparedRequest {
        const { clock, requestHandler } = this.#options;
        const receivedTime = clock.getTime();
        const target = request.url ?? "/";
        return {
            canRunAhead: requestHandler.isIdempotent(target),
            run: async signal => {
                const answer = await requestHandler.run({
                    method: request.method ?? "",
                    target,
                    headers: getHeaders(request),
                    readBody: maxBytes => readRequestBody(request, maxBytes),
                    signal,
                    waitedMs: clock.getTime() - receivedTime,
                });
                return this.#createPreparedAnswer(answer, receivedTime);
            },
        };
    }

    #createPreparedAnswer(answer: CallerAnswer, receivedTime: number): PreparedAnswer {
        const { clock, recordDuration } = this.#options;
        const record = (outcome: Outcome): void => recordDuration(outcome, clock.getTime() - receivedTime);
        if (answer.outcome.kind === OutcomeKind.Done) {
            // The body may fail while the answers to earlier requests are being sent.
            answer.outcome.body.on("error", () => {});
        }
        return {
            send: async response => {
                const outcome = checkBody(answer.outcome);
                record(outcome);
                try {
                    await sendCallerAnswer({ ...answer, outcome }, response);
                }
                finally {
                    answer.close();
                }
            },
            cancel: () => {
                record(answer.outcome);
                closeBody(answer.outcome);
                answer.close();
            },
        };
    }
}

function getHeaders(request: IncomingMessage): Record<string, string | string[]> {
    return request.headers as Record<string, string | string[]>;
}

async function readRequestBody(request: IncomingMessage, maxBytes: number): Promise<Buffer | undefined> {
    if (Number(request.headers["content-length"] ?? 0) > maxBytes) {
        return undefined;
    }
    return await readBody(request, maxBytes);
}

/** Prepares a request that the listener answers itself. */
function createOwnRequest(createAnswer: () => Promise<PreparedAnswer>): PreparedRequest {
    return {
        canRunAhead: true,
        run: async () => {
            try {
                return await createAnswer();
            }
            catch (error) {
                const detail = "The request could not be read.";
                return createOwnAnswer(
                    error instanceof RefusalError
                        ? error.outcome
                        : createNotRun(RefusalReason.MalformedRequest, detail),
                );
            }
        },
    };
}

function createOwnAnswer(outcome: Outcome): PreparedAnswer {
    const signal = new AbortController().signal;
    return {
        send: response => sendCallerAnswer({ requestId: NO_REQUEST_ID, outcome, signal, close: () => {} }, response),
        cancel: () => closeBody(outcome),
    };
}

async function refuseUpgrade(): Promise<never> {
    throw new RefusalError(RefusalReason.MalformedRequest, "Upgrades are not supported.");
}
