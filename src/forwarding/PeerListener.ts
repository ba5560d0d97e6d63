import { JSONRPCServer } from "json-rpc-2.0";
import { once } from "node:events";
import type { IncomingMessage, ServerResponse } from "node:http";
import { createServer } from "node:http";
import type { Server } from "node:http";
import polka from "polka";
import { MemoryShortError, UnexpectedVariantError } from "../errors/index.js";
import { createUnreadAnswer } from "../memory/index.js";
import type { HeldBody } from "../memory/index.js";
import { createNotRun, getOutcomeHead, OutcomeKind, RefusalReason } from "../outcomes/index.js";
import type { Outcome } from "../outcomes/index.js";
import { encodeResult, peerProtocol } from "../peers/index.js";
import type { PeerMethod } from "../peers/index.js";
import {
    closeServer,
    decodeJson,
    encodeJson,
    isTimingSafeEqual,
    openServer,
    readBody,
    writeStream,
} from "../utils/index.js";
import type { PeerAnswerHead } from "./PeerAnswerHead.js";
import type { PeerListenerOptions } from "./PeerListenerOptions.js";
import type { PeerRequestHead } from "./PeerRequestHead.js";
import { PeerRequestKind } from "./PeerRequestKind.js";

const KEEP_ALIVE_MS = 60_000;
const RETRY_AFTER_MS = 1000;
/** Time in which a forwarded body must come, in milliseconds: the first host has it whole. */
const BODY_TIMEOUT_MS = 10_000;

/** What a call's answer is counted as. */
interface CallContext {
    method?: PeerMethod;
}

/** Serves peer calls and forwarded requests from other entry hosts. */
export class PeerListener {
    readonly #options: PeerListenerOptions;
    readonly #rpc = new JSONRPCServer<CallContext>({ errorListener: () => {} });
    readonly #server: Server;
    /** Forwarded requests whose answers have not been sent to their end. */
    #runningRequests = 0;
    readonly #idleListeners: (() => void)[] = [];

    /** @param options - The listener's dependencies. */
    constructor(options: PeerListenerOptions) {
        this.#options = options;
        this.#server = createServer({ maxHeaderSize: peerProtocol.maxHeaderBytes, keepAliveTimeout: KEEP_ALIVE_MS });
        this.#addMethods();
        this.#addRoutes();
    }

    /**
     * Starts listening.
     * @param address - The address, as "ip:port".
     */
    async start(address: string): Promise<void> {
        await openServer(this.#server, address);
    }

    /** Waits until the answer to each forwarded request has been sent. */
    async waitForIdle(): Promise<void> {
        if (this.#runningRequests > 0) {
            await new Promise<void>(resolve => this.#idleListeners.push(resolve));
        }
    }

    /** Stops listening and closes all connections. */
    async stop(): Promise<void> {
        await closeServer(this.#server);
    }

    #addMethods(): void {
        for (const method of this.#options.handlers.getMethods()) {
            this.#rpc.addMethod(method, (params, context) => {
                context.method = method;
                return this.#options.handlers.run(method, params);
            });
        }
    }

    #addRoutes(): void {
        const app = polka({ server: this.#server });
        app.use((request, response, next) => this.#checkSecret(request, response, next));
        app.post(peerProtocol.callPath, (request, response) => void this.#runCall(request, response));
        app.post(peerProtocol.forwardPath, (request, response) => void this.#runForwarded(request, response));
        this.#server.on("request", (request, response) => app.handler(request as polka.Request, response));
    }

    #checkSecret(request: IncomingMessage, response: ServerResponse, next: () => void): void {
        const secret = request.headers[peerProtocol.secretHeader];
        if (typeof secret === "string" && isTimingSafeEqual(secret, this.#options.secret)) {
            next();
            return;
        }
        response.writeHead(403, { connection: "close" }).end();
    }

    async #runCall(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const body = await readBody(request, peerProtocol.maxCallBytes).catch(() => undefined);
        if (body === undefined) {
            response.writeHead(413, { connection: "close" }).end();
            return;
        }
        const context: CallContext = {};
        const answer = JSON.stringify(await this.#rpc.receiveJSON(body.toString(), context));
        const result = await encodeResult(answer, request.headers["accept-encoding"]);
        if (context.method !== undefined) {
            this.#options.traffic?.recordResult(findZone(request), context.method, result.body.length);
        }
        response.writeHead(200, { "content-type": "application/json", ...result.headers }).end(result.body);
    }

    async #runForwarded(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const controller = new AbortController();
        const { socket } = response;
        const bytesWrittenBefore = socket?.bytesWritten ?? 0;
        this.#runningRequests++;
        response.once("close", () => {
            this.#recordEnd();
            if (!response.writableFinished) {
                controller.abort(new Error("The peer has closed the request."));
            }
        });
        try {
            const head = decodeJson(request.headers[peerProtocol.requestHeader] as string) as PeerRequestHead;
            const body = await this.#readBody(request);
            if (body === undefined) {
                response.writeHead(413, { connection: "close" }).end();
                return;
            }
            if (body instanceof MemoryShortError) {
                const outcome = createNotRun(RefusalReason.Overloaded, body.message, RETRY_AFTER_MS);
                await this.#sendAnswer(response, outcome, { outcome: getOutcomeHead(outcome) }, head.request.requestId);
                return;
            }
            try {
                await this.#runByKind(head, body.bytes, response, controller.signal);
            }
            finally {
                body.release();
            }
        }
        catch {
            response.destroy();
        }
        finally {
            // A connection carries one answer at a time, so the difference is the size of this answer.
            this.#options.traffic?.recordAnswer(findZone(request), (socket?.bytesWritten ?? 0) - bytesWrittenBefore);
        }
    }

    #recordEnd(): void {
        this.#runningRequests--;
        if (this.#runningRequests === 0) {
            this.#idleListeners.splice(0).forEach(listener => listener());
        }
    }

    /** Reads a body; one for which there is no memory is read to its end, so that the refusal reaches the other host. */
    async #readBody(request: IncomingMessage): Promise<HeldBody | MemoryShortError | undefined> {
        const { memory } = this.#options;
        if (memory === undefined) {
            const bytes = await readBody(request, peerProtocol.maxBodyBytes);
            return bytes === undefined ? undefined : { bytes, release: () => {} };
        }
        const isChunked = request.headers["transfer-encoding"] !== undefined;
        try {
            return await memory.forwardedBodies.read(request, {
                maxBytes: peerProtocol.maxBodyBytes,
                length: isChunked ? undefined : Number(request.headers["content-length"] ?? 0),
                timeoutMs: BODY_TIMEOUT_MS,
            });
        }
        catch (error) {
            if (!(error instanceof MemoryShortError)) {
                throw error;
            }
            if (!request.readableEnded) {
                await once(request.resume(), "end");
            }
            return error;
        }
    }

    async #runByKind(
        head: PeerRequestHead,
        body: Buffer,
        response: ServerResponse,
        signal: AbortSignal,
    ): Promise<void> {
        switch (head.kind) {
            case PeerRequestKind.Service: {
                const { outcome, ...rest } = await this.#options.serviceRunner.run({ ...head.request, body }, signal);
                const answer = { outcome: getOutcomeHead(outcome), ...rest };
                await this.#sendAnswer(response, outcome, answer, head.request.requestId);
                return;
            }
            case PeerRequestKind.Account: {
                const outcome = await this.#runAccount(head, body, signal);
                await this.#sendAnswer(response, outcome, { outcome: getOutcomeHead(outcome) }, head.request.requestId);
                return;
            }
            default:
                throw new UnexpectedVariantError(head);
        }
    }

    async #runAccount(
        head: PeerRequestHead & { kind: PeerRequestKind.Account; },
        body: Buffer,
        signal: AbortSignal,
    ): Promise<Outcome> {
        const { accountRunner } = this.#options;
        const configuration = this.#options.getConfiguration();
        const account = head.account === undefined ? undefined : configuration.getAccount(head.account);
        const route = configuration.getRoute(head.route);
        if (
            accountRunner === undefined || route === undefined || (head.account !== undefined && account === undefined)
        ) {
            const detail = "This entry host does not know the route or the client account yet.";
            return createNotRun(RefusalReason.HostNotCurrent, detail, RETRY_AFTER_MS);
        }
        return await accountRunner.run({ ...head.request, account, route, body }, signal);
    }

    async #sendAnswer(
        response: ServerResponse,
        outcome: Outcome,
        head: PeerAnswerHead,
        requestId: string,
    ): Promise<void> {
        response.writeHead(200, { [peerProtocol.answerHeader]: encodeJson(head) });
        if (outcome.kind !== OutcomeKind.Done) {
            response.end();
            return;
        }
        const remove = this.#options.memory?.answers.add(createUnreadAnswer(response, outcome.headers, requestId));
        try {
            await writeStream(outcome.body, response);
        }
        finally {
            remove?.();
        }
    }
}

/** Finds the availability zone of the host that sent a message; undefined if it doesn't name one. */
function findZone(request: IncomingMessage): string | undefined {
    const zone = request.headers[peerProtocol.zoneHeader];
    return typeof zone === "string" ? zone : undefined;
}
