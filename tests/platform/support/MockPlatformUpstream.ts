import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { closeServer, openServer, readBody } from "../../../src/utils/index.js";
import { UpstreamFaultMode } from "./UpstreamFaultMode.js";

const MAX_BODY_BYTES = 64 * 1024 * 1024;
/** Latency of a late response beyond the usual one, in milliseconds. */
const LATE_MS = 1_200;
const ENDLESS_CHUNK = Buffer.alloc(16 * 1024);

interface ReceivedRequest {
    readonly id: string;
    readonly account: string | undefined;
    readonly path: string;
    readonly body: string;
    readonly hasKey: boolean;
    /** When it arrived, in milliseconds of a monotonic clock. */
    readonly time: number;
}

/** An HTTP server that behaves like an upstream of the platform. */
export class MockPlatformUpstream {
    /** The requests that it ran, oldest first. */
    readonly received: ReceivedRequest[] = [];
    /** The requests that it refused without running them. */
    readonly refused: Pick<ReceivedRequest, "id" | "time">[] = [];
    /** When it ended the requests that it ran, also those that nobody waited for any more. */
    readonly finished: Pick<ReceivedRequest, "id" | "time">[] = [];
    /** Latency of each response, in milliseconds. */
    delayMs = 0;
    /** Whether it responds to all requests with status 500. */
    isFailing = false;
    /** Whether its responses have no content length and end early with a connection reset. */
    isTruncating = false;
    /** Time between two chunks of endless responses, in milliseconds; undefined if responses end. */
    endlessChunkIntervalMs: number | undefined;
    /** Number of endless responses that are still being sent. */
    openEndlessResponses = 0;
    /** The status of each response of an upstream that does not fail. */
    status = 200;
    /** Header fields that are added to each response. */
    extraHeaders: Readonly<Record<string, string>> = {};
    /** What all its responses carry; undefined for a short text that names the request. */
    answer: Buffer | undefined;
    /** Selects the fault of each request. */
    selectFault: () => UpstreamFaultMode = () => UpstreamFaultMode.None;
    /** Selects the latency of each response beyond `delayMs`, in milliseconds. */
    selectExtraDelay: () => number = () => 0;
    /** Whether it also runs requests that name no upstream, as those of the platform do. */
    acceptsUnnamed = false;
    readonly id: string;
    readonly #server: Server;

    /** @param id - The upstream's id. */
    constructor(id: string) {
        this.id = id;
        this.#server = createServer((request, response) => void this.#run(request, response));
    }

    /** Starts listening and returns the address. */
    async start(): Promise<string> {
        return `127.0.0.1:${await openServer(this.#server, "127.0.0.1:0")}`;
    }

    /** Stops at once. */
    async stop(): Promise<void> {
        await closeServer(this.#server);
    }

    async #run(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const id = String(request.headers["fuchsiapath-attempt-id"]);
        const expected = request.headers["fuchsiapath-expect-instance"];
        if (expected !== this.id && !(expected === undefined && this.acceptsUnnamed)) {
            response.writeHead(421, { "fuchsiapath-instance-id": this.id }).end();
            return;
        }
        const body = await readBody(request, MAX_BODY_BYTES);
        const fault = this.selectFault();
        if (fault === UpstreamFaultMode.Shedding || fault === UpstreamFaultMode.SheddingWithoutEnd) {
            this.refused.push({ id, time: performance.now() });
        }
        if (fault === UpstreamFaultMode.Shedding) {
            response.writeHead(503, { "fuchsiapath-attempt-id": id, "fuchsiapath-not-executed": "1" }).end();
            return;
        }
        if (fault === UpstreamFaultMode.SheddingWithoutEnd) {
            response.writeHead(503, { "fuchsiapath-attempt-id": id, "fuchsiapath-not-executed": "1" });
            this.#sendEndless(response, 0);
            return;
        }
        this.received.push({
            id,
            account: request.headers["fuchsiapath-tenant"] as string | undefined,
            path: request.url ?? "",
            body: String(body),
            hasKey: request.headers.authorization !== undefined,
            time: performance.now(),
        });
        const extraDelayMs = this.selectExtraDelay() + (fault === UpstreamFaultMode.Late ? LATE_MS : 0);
        await new Promise(resolve => setTimeout(resolve, this.delayMs + extraDelayMs));
        this.finished.push({ id, time: performance.now() });
        if (fault === UpstreamFaultMode.LosingResponses) {
            response.destroy();
            return;
        }
        const headers = {
            "fuchsiapath-attempt-id": id,
            "fuchsiapath-response-seal": `seal-${this.id}`,
            ...this.extraHeaders,
        };
        if (this.endlessChunkIntervalMs !== undefined) {
            response.writeHead(200, headers);
            this.#sendEndless(response, this.endlessChunkIntervalMs);
            return;
        }
        if (this.isTruncating) {
            const fields = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join("");
            const { socket } = request;
            socket.write(`HTTP/1.1 200 OK\r\nconnection: close\r\n${fields}\r\npart of an ans`);
            setImmediate(() => socket.resetAndDestroy());
            return;
        }
        const isFailing = this.isFailing || fault === UpstreamFaultMode.Failing;
        const answer = this.answer ?? `answer of ${this.id} to ${request.url}`;
        response.writeHead(isFailing ? 500 : this.status, headers).end(answer);
    }

    #sendEndless(response: ServerResponse, chunkIntervalMs: number): void {
        this.openEndlessResponses++;
        let isClosed = false;
        response.once("close", () => {
            isClosed = true;
            this.openEndlessResponses--;
        });
        const sendMore = (): void => {
            if (isClosed) {
                return;
            }
            const isWritable = response.write(chunkIntervalMs > 0 ? "x" : ENDLESS_CHUNK);
            if (chunkIntervalMs > 0 || isWritable) {
                setTimeout(sendMore, chunkIntervalMs);
                return;
            }
            response.once("drain", sendMore);
        };
        sendMore();
    }
}
