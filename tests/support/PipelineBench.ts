import { once } from "node:events";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { Readable } from "node:stream";
import { RefusalError } from "../../src/callers/index.js";
import type { Gateway, GatewayProtocol, GatewayRequest } from "../../src/gateway/index.js";
import { GatewayListener } from "../../src/gateway/index.js";
import { ProcessMemory } from "../../src/memory/index.js";
import { createNotRun, OutcomeKind, RefusalReason } from "../../src/outcomes/index.js";
import type { HeaderFields, NotRunOutcome, Outcome, UnknownOutcome } from "../../src/outcomes/index.js";
import { SystemClock } from "../../src/time/index.js";

const STATUS_UNAVAILABLE = 503;
const STATUS_BAD_GATEWAY = 502;
const POLL_MS = 10;
/** Far more than the tests need. */
const MEMORY_BYTES = 1_000_000_000;
const IDLE_TIMEOUT_MS = 60_000;
const MAX_CONNECTIONS = 100;
/** Limit of a wait, in milliseconds; far above all expected times, so that a busy machine does not fail a test. */
const LIMIT_MS = 5_000;

/** A gateway listener on loopback whose gateway is told when and how to answer each path. */
export class PipelineBench {
    /** Paths of the requests that were passed on, in this order. */
    readonly started: string[] = [];
    /** Paths of the requests that were cancelled. */
    readonly cancelled: string[] = [];
    /** Number of requests that were read. */
    decodedCount = 0;
    /** Longest body that the gateway reads, in bytes. */
    maxBodyBytes = 1_000_000;
    readonly listener: GatewayListener;
    readonly #answers = new Map<string, (outcome: Outcome) => void>();
    readonly #clock = new SystemClock();
    #port = 0;

    /** Creates the listener. */
    constructor() {
        this.listener = new GatewayListener({
            clock: this.#clock,
            gateway: this as unknown as Gateway,
            protocol: createProtocol(() => this.decodedCount++),
            memory: new ProcessMemory({
                clock: this.#clock,
                decisions: { record: () => {} },
                memoryBytes: MEMORY_BYTES,
                getIdleTimeout: () => IDLE_TIMEOUT_MS,
                collect: undefined,
            }),
            maxConnections: MAX_CONNECTIONS,
            recordDuration: () => {},
        });
    }

    /** Starts to listen. */
    async start(): Promise<void> {
        this.#port = await this.listener.start("127.0.0.1:0");
    }

    /** Closes all connections and stops listening. */
    async stop(): Promise<void> {
        this.listener.closeConnections();
        await this.listener.stop();
    }

    /**
     * Whether a request may run more than once, as the gateway says.
     * @param request - The request.
     */
    isIdempotent(request: GatewayRequest): boolean {
        return !request.target.startsWith("/order");
    }

    /**
     * Runs a request until the test answers it, as the gateway does.
     * @param request - The request.
     * @param readBody - Reads its body.
     * @param signal - Aborted when the caller has left.
     */
    async run(
        request: GatewayRequest,
        readBody: (maxBytes: number) => Promise<Buffer | undefined>,
        signal: AbortSignal,
    ): Promise<Outcome> {
        const { target } = request;
        if (await readBody(this.maxBodyBytes) === undefined) {
            return createNotRun(RefusalReason.BodyTooLarge, "too long");
        }
        this.started.push(target);
        return await new Promise<Outcome>(resolve => {
            this.#answers.set(target, resolve);
            signal.addEventListener("abort", () => {
                this.cancelled.push(target);
                resolve(createNotRun(RefusalReason.HostStopping, "cancelled"));
            });
        });
    }

    /**
     * Answers a request that was passed on.
     * @param target - Its path.
     * @param outcome - The outcome; by default an upstream's response whose body is the path.
     */
    async sendOutcome(target: string, outcome: Outcome = createAnswer(target)): Promise<void> {
        await this.waitUntil(() => this.#answers.has(target));
        this.#answers.get(target)!(outcome);
        this.#answers.delete(target);
    }

    /** Opens a connection; the text received so far stands in the returned object. */
    async open(): Promise<{ socket: Socket; received: string; isClosed: boolean; }> {
        const socket = connect(this.#port, "127.0.0.1");
        const connection = { socket, received: "", isClosed: false };
        socket.setEncoding("latin1").on("data", (part: string) => connection.received += part);
        socket.on("error", () => {}).once("close", () => connection.isClosed = true);
        await once(socket, "connect");
        return connection;
    }

    /**
     * Waits until a condition holds; rejects at the limit.
     * @param condition - The condition.
     */
    async waitUntil(condition: () => boolean): Promise<void> {
        for (let waitedMs = 0; !condition(); waitedMs += POLL_MS) {
            if (waitedMs > LIMIT_MS) {
                throw new Error("The condition did not come to hold.");
            }
            await this.#clock.wait(POLL_MS);
        }
    }
}

function createAnswer(target: string): Outcome {
    const headers = { "content-length": String(target.length) };
    return { kind: OutcomeKind.Done, status: 200, headers, body: Readable.from([Buffer.from(target)]) };
}

function createProtocol(onDecoded: () => void): GatewayProtocol {
    return {
        notRunStatuses: new Set<number>(),
        decodeRequest: ({ url, method, headers }) => {
            onDecoded();
            if (url === "/malformed") {
                throw new RefusalError(RefusalReason.MalformedRequest, "malformed");
            }
            const fields = headers as HeaderFields;
            const decoded = { requestId: url!, key: undefined, host: "a", method: method!, target: url! };
            return { ...decoded, headers: fields, timeoutMs: undefined };
        },
        createHeaders: outcome => outcome.headers,
        createErrorResponse: outcome => ({ status: getStatus(outcome), headers: {}, body: outcome.reason }),
    };
}

function getStatus(outcome: NotRunOutcome | UnknownOutcome): number {
    return outcome.kind === OutcomeKind.NotRun ? STATUS_UNAVAILABLE : STATUS_BAD_GATEWAY;
}
