import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import polka from "polka";
import { RefusalError } from "../callers/index.js";
import type { CallerLimits } from "../configuration/index.js";
import type { Outcome } from "../outcomes/index.js";
import { OutcomeKind, RefusalReason } from "../outcomes/index.js";
import { openServer, readBody, refuseSocket, writeStream } from "../utils/index.js";
import type { GatewayErrorResponse } from "./GatewayErrorResponse.js";
import type { GatewayListenerOptions } from "./GatewayListenerOptions.js";
import type { GatewayRequest } from "./GatewayRequest.js";

/** Bounds the header fields before the configuration is known, in bytes. */
const MAX_HEADER_BYTES = 64 * 1024;
const HEADER_OVERFLOW_CODE = "HPE_HEADER_OVERFLOW";
/** How often slow requests and idle connections are looked for, in milliseconds. */
const CONNECTION_CHECK_INTERVAL_MS = 3_000;

/** Takes callers' requests in and passes the answers on. */
export class GatewayListener {
    readonly #options: GatewayListenerOptions;
    readonly #server: Server;
    #isStopping = false;

    /** @param options - What the listener works with. */
    constructor(options: GatewayListenerOptions) {
        this.#options = options;
        this.#server = createServer({
            maxHeaderSize: MAX_HEADER_BYTES,
            connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
        });
        const app = polka({
            server: this.#server,
            onNoMatch: (request, response) => void this.#runCall(request, response),
        });
        this.#server.on("request", (request, response) => app.handler(request as polka.Request, response));
        this.#server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
            const isOverflow = error.code === HEADER_OVERFLOW_CODE;
            refuseSocket(socket, isOverflow ? "431 Request Header Fields Too Large" : "400 Bad Request");
        });
    }

    /**
     * Starts to listen and returns the port.
     * @param address - "ip:port"; port 0 for any that is free.
     */
    async start(address: string): Promise<number> {
        return await openServer(this.#server, address);
    }

    /**
     * Puts the limits of a configuration in force for connections.
     * @param limits - The limits.
     */
    applyLimits(limits: CallerLimits): void {
        this.#server.keepAliveTimeout = limits.idleTimeoutMs;
        this.#server.headersTimeout = limits.headersTimeoutMs;
    }

    /** Closes each connection with its next answer from now on. */
    drain(): void {
        this.#isStopping = true;
    }

    /** Stops listening and closes idle connections; running answers end. */
    async stop(): Promise<void> {
        const closed = new Promise<void>(resolve => this.#server.close(() => resolve()));
        this.#server.closeIdleConnections();
        await closed;
    }

    /** Closes all connections at once, also those with an answer under way. */
    closeConnections(): void {
        this.#server.closeAllConnections();
    }

    async #runCall(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const { clock, gateway, recordDuration } = this.#options;
        const startTime = clock.getTime();
        const controller = new AbortController();
        response.once("close", () => {
            if (!response.writableFinished) {
                controller.abort(new Error("The caller has left."));
            }
        });
        const call = this.#decodeCall(request);
        const outcome = call instanceof RefusalError
            ? call.outcome
            : await gateway.run(call, maxBytes => readBody(request, maxBytes), controller.signal);
        recordDuration(outcome, clock.getTime() - startTime);
        if (this.#isStopping || !request.complete) {
            response.setHeader("connection", "close");
        }
        const requestId = call instanceof RefusalError ? undefined : call.requestId;
        await this.#sendOutcome(outcome, requestId, response, controller.signal);
    }

    #decodeCall(request: IncomingMessage): GatewayRequest | RefusalError {
        try {
            return this.#options.protocol.decodeRequest(request);
        }
        catch (error) {
            return error instanceof RefusalError
                ? error
                : new RefusalError(RefusalReason.MalformedRequest, "The request could not be read.");
        }
    }

    async #sendOutcome(
        outcome: Outcome,
        requestId: string | undefined,
        response: ServerResponse,
        signal: AbortSignal,
    ): Promise<void> {
        const { protocol } = this.#options;
        if (outcome.kind !== OutcomeKind.Done) {
            sendErrorResponse(protocol.createErrorResponse(outcome, requestId), response);
            return;
        }
        if (response.destroyed) {
            outcome.body.on("error", () => {}).destroy();
            return;
        }
        response.writeHead(outcome.status, { ...protocol.createHeaders(outcome) } as Record<string, string>);
        try {
            await writeStream(outcome.body, response, signal);
        }
        catch {
            // The end of the connection tells the caller that the answer is not whole.
            response.destroy();
        }
    }
}

function sendErrorResponse(answer: GatewayErrorResponse, response: ServerResponse): void {
    if (response.headersSent || response.destroyed) {
        return;
    }
    const headers = { ...answer.headers, "content-length": String(Buffer.byteLength(answer.body)) };
    response.writeHead(answer.status, headers).end(answer.body);
}
