import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import polka from "polka";
import { createNotRun, RefusalReason } from "../outcomes/index.js";
import { openServer, readBody, refuseSocket } from "../utils/index.js";
import type { CallerAnswer } from "./CallerAnswer.js";
import type { CallerListenerOptions } from "./CallerListenerOptions.js";
import { parseCredentials } from "./parseCredentials.js";
import { RefusalError } from "./RefusalError.js";
import { sendCallerAnswer } from "./sendCallerAnswer.js";
import { sendProblem } from "./sendProblem.js";

const MAX_HEADER_BYTES = 16 * 1024;
const KEEP_ALIVE_MS = 60_000;
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 60_000;
const HEADER_OVERFLOW_CODE = "HPE_HEADER_OVERFLOW";
const NO_REQUEST_ID = "-";

/** The HTTP listener for callers: address lookups, queries for order outcomes, and requests on routes. */
export class CallerListener {
    readonly #options: CallerListenerOptions;
    readonly #server: Server;

    /** @param options - The handlers of requests and lookups. */
    constructor(options: CallerListenerOptions) {
        this.#options = options;
        this.#server = createServer({
            maxHeaderSize: MAX_HEADER_BYTES,
            keepAliveTimeout: KEEP_ALIVE_MS,
            headersTimeout: HEADERS_TIMEOUT_MS,
            requestTimeout: REQUEST_TIMEOUT_MS,
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

    /** Stops listening, waits for answers in progress and closes all connections. */
    async stop(): Promise<void> {
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
            onNoMatch: (request, response) => void this.#runRequest(request, response),
        });
        app.get("/v1/addresses", (request, response) => this.#sendAddresses(request, response));
        app.get("/v1/orders/:key", (request, response) => {
            void this.#sendOrder(request, String(request.params.key), response);
        });
        this.#server.on("request", (request, response) => {
            if (!refuseUpgrade(request, response)) {
                app.handler(request as polka.Request, response);
            }
        });
        this.#server.on("connect", (_request, socket) => refuseSocket(socket, "405 Method Not Allowed"));
        this.#server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
            const isOverflow = error.code === HEADER_OVERFLOW_CODE;
            refuseSocket(socket, isOverflow ? "431 Request Header Fields Too Large" : "400 Bad Request");
        });
    }

    #sendAddresses(request: IncomingMessage, response: ServerResponse): void {
        this.#runLookup(response, () => {
            const credentials = parseCredentials(getHeaders(request));
            const account = credentials === undefined
                ? undefined
                : this.#options.requestHandler.getAccount(credentials);
            const body = JSON.stringify(this.#options.lookup.getAddresses(account));
            response.writeHead(200, { "content-type": "application/json" }).end(body);
        });
    }

    async #sendOrder(request: IncomingMessage, key: string, response: ServerResponse): Promise<void> {
        let accountName: string | undefined;
        this.#runLookup(response, () => {
            this.#options.requestHandler.checkServing();
            const credentials = parseCredentials(getHeaders(request));
            if (credentials === undefined) {
                throw new RefusalError(RefusalReason.UnknownKey, "An order's outcome needs a key.");
            }
            accountName = this.#options.requestHandler.getAccount(credentials).name;
        });
        if (accountName !== undefined) {
            const outcome = await this.#options.findOrder(accountName, key);
            const signal = new AbortController().signal;
            await sendCallerAnswer({ requestId: NO_REQUEST_ID, outcome, signal, close: () => {} }, response);
        }
    }

    #runLookup(response: ServerResponse, run: () => void): void {
        try {
            run();
        }
        catch (error) {
            const isRefusal = error instanceof RefusalError;
            const detail = "The request could not be read.";
            const outcome = isRefusal ? error.outcome : createNotRun(RefusalReason.MalformedRequest, detail);
            sendProblem(outcome, NO_REQUEST_ID, response);
        }
    }

    async #runRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const startTime = this.#options.getTime();
        const controller = new AbortController();
        response.once("close", () => {
            if (!response.writableFinished) {
                controller.abort(new Error("The caller has left."));
            }
        });
        const answer: CallerAnswer = await this.#options.requestHandler.run({
            method: request.method ?? "",
            target: request.url ?? "/",
            headers: getHeaders(request),
            readBody: maxBytes => readRequestBody(request, maxBytes),
            signal: controller.signal,
        });
        this.#options.recordDuration(answer.outcome, this.#options.getTime() - startTime);
        if (!request.complete) {
            response.setHeader("connection", "close");
        }
        try {
            await sendCallerAnswer(answer, response);
        }
        finally {
            answer.close();
        }
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

function refuseUpgrade(request: IncomingMessage, response: ServerResponse): boolean {
    if (request.headers.upgrade === undefined) {
        return false;
    }
    const outcome = createNotRun(RefusalReason.MalformedRequest, "Upgrades are not supported.");
    response.setHeader("connection", "close");
    sendProblem(outcome, NO_REQUEST_ID, response);
    return true;
}
