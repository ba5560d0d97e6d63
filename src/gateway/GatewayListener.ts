import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import polka from "polka";
import { CallerConnections, checkBody, RefusalError } from "../callers/index.js";
import type { PreparedAnswer, PreparedRequest } from "../callers/index.js";
import type { CallerLimits } from "../configuration/index.js";
import { createUnreadAnswer } from "../memory/index.js";
import { closeBody, OutcomeKind, RefusalReason } from "../outcomes/index.js";
import type { DoneOutcome, Outcome } from "../outcomes/index.js";
import { openServer, writeStream } from "../utils/index.js";
import type { GatewayErrorResponse } from "./GatewayErrorResponse.js";
import type { GatewayListenerOptions } from "./GatewayListenerOptions.js";
import type { GatewayRequest } from "./GatewayRequest.js";
import { RequestBody } from "./RequestBody.js";

/** Upper bound of the header size, which must be set before the configuration is known, in bytes. */
const MAX_HEADER_BYTES = 64 * 1024;
/** Interval of the check for slow requests and idle connections, in milliseconds. */
const CONNECTION_CHECK_INTERVAL_MS = 3_000;

/** HTTP listener for callers' requests. */
export class GatewayListener {
    readonly #options: GatewayListenerOptions;
    readonly #server: Server;
    readonly #connections: CallerConnections;

    /** @param options - Dependencies of the listener. */
    constructor(options: GatewayListenerOptions) {
        this.#options = options;
        this.#server = createServer({
            maxHeaderSize: MAX_HEADER_BYTES,
            connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
        });
        const app = polka({
            server: this.#server,
            onNoMatch: (request, response) => this.#connections.add(request, response),
        });
        this.#connections = new CallerConnections({
            clock: options.clock,
            server: this.#server,
            memory: options.memory,
            maxConnections: options.maxConnections,
            prepare: request => this.#createPreparedRequest(request),
        });
        this.#server.on("request", (request, response) => app.handler(request as polka.Request, response));
    }

    /**
     * Starts listening and returns the port.
     * @param address - "ip:port"; port 0 selects any free port.
     */
    async start(address: string): Promise<number> {
        return await openServer(this.#server, address);
    }

    /**
     * Applies the timeouts of a configuration to connections.
     * @param limits - The limits; only the timeouts are used.
     */
    applyLimits(limits: CallerLimits): void {
        this.#server.keepAliveTimeout = limits.idleTimeoutMs;
        this.#server.headersTimeout = limits.headersTimeoutMs;
    }

    /** From now on, closes each connection after a response behind which no other request has been read. */
    drain(): void {
        this.#connections.drain();
    }

    /** Waits until no response is in progress. */
    async waitForIdle(): Promise<void> {
        await this.#connections.waitForIdle();
    }

    /** Reads no more requests of connections in use, waits for their responses, stops listening and closes all connections. */
    async stop(): Promise<void> {
        this.#connections.stop();
        await this.#connections.waitForIdle();
        const closed = new Promise<void>(resolve => this.#server.close(() => resolve()));
        this.#server.closeIdleConnections();
        await closed;
    }

    /** Closes all connections at once, also those with a response in progress. */
    closeConnections(): void {
        this.#server.closeAllConnections();
    }

    #createPreparedRequest(request: IncomingMessage): PreparedRequest {
        const { clock, gateway, memory } = this.#options;
        const receivedTime = clock.getTime();
        const decoded = this.#decodeRequest(request);
        if (decoded instanceof RefusalError) {
            return {
                canRunAhead: true,
                run: async () => this.#createPreparedAnswer(decoded.outcome, undefined, receivedTime, undefined),
            };
        }
        return {
            canRunAhead: gateway.isIdempotent(decoded),
            run: async signal => {
                const body = new RequestBody(request, memory, clock);
                const readBody = (maxBytes: number, timeoutMs: number): Promise<Buffer | undefined> =>
                    body.read(maxBytes, timeoutMs);
                const outcome = await gateway.run(decoded, readBody, signal, receivedTime);
                return this.#createPreparedAnswer(outcome, decoded.requestId, receivedTime, body);
            },
        };
    }

    #decodeRequest(request: IncomingMessage): GatewayRequest | RefusalError {
        try {
            return this.#options.protocol.decodeRequest(request);
        }
        catch (error) {
            return error instanceof RefusalError
                ? error
                : new RefusalError(RefusalReason.MalformedRequest, "The request could not be read.");
        }
    }

    #createPreparedAnswer(
        outcome: Outcome,
        requestId: string | undefined,
        receivedTime: number,
        requestBody: RequestBody | undefined,
    ): PreparedAnswer {
        const { clock, memory, protocol, recordDuration } = this.#options;
        const record = (sent: Outcome): void => recordDuration(sent, clock.getTime() - receivedTime);
        if (outcome.kind === OutcomeKind.Done) {
            // The body may fail while the answers to earlier requests are being sent.
            outcome.body.on("error", () => {});
        }
        return {
            send: async response => {
                const current = checkBody(outcome);
                record(current);
                if (current.kind === OutcomeKind.Done) {
                    const headers = { ...protocol.createHeaders(current) } as Record<string, string>;
                    const remove = memory.answers.add(createUnreadAnswer(response, current.headers, requestId ?? ""));
                    await sendBody(current, headers, response);
                    remove();
                    requestBody?.release();
                    return;
                }
                if (current.kind === OutcomeKind.Unknown) {
                    requestBody?.releaseLate();
                }
                else {
                    requestBody?.release();
                }
                sendErrorResponse(protocol.createErrorResponse(current, requestId), response);
            },
            cancel: () => {
                record(outcome);
                closeBody(outcome);
                requestBody?.releaseLate();
            },
        };
    }
}

async function sendBody(
    outcome: DoneOutcome,
    headers: Record<string, string>,
    response: ServerResponse,
): Promise<void> {
    response.writeHead(outcome.status, headers);
    try {
        await writeStream(outcome.body, response);
    }
    catch {
        // Closing the connection tells the caller that the response is incomplete.
        response.destroy();
    }
}

function sendErrorResponse(error: GatewayErrorResponse, response: ServerResponse): void {
    const headers = { ...error.headers, "content-length": String(Buffer.byteLength(error.body)) };
    response.writeHead(error.status, headers).end(error.body);
}
