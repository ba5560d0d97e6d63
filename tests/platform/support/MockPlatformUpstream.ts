import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { closeServer, openServer, readBody } from "../../../src/utils/index.js";

const MAX_BODY_BYTES = 1024 * 1024;
const ENDLESS_CHUNK = Buffer.alloc(16 * 1024);

interface ReceivedRequest {
    readonly id: string;
    readonly account: string | undefined;
    readonly path: string;
    readonly body: string;
    readonly hasKey: boolean;
}

/** An upstream as the platform's page describes it, for tests. */
export class MockPlatformUpstream {
    /** What it ran, oldest first. */
    readonly received: ReceivedRequest[] = [];
    /** How long an answer takes, in milliseconds. */
    delayMs = 0;
    /** Whether it answers all work with an error of its own. */
    isFailing = false;
    /** Whether its answers have no length and end before they are whole. */
    isTruncating = false;
    /** Whether its answers have no end; undefined if they have one, else the time between two pieces, in milliseconds. */
    endlessChunkIntervalMs: number | undefined;
    /** Answers without an end that are still being sent. */
    openEndlessResponses = 0;
    readonly id: string;
    readonly #server: Server;

    /** @param id - Its id on the platform. */
    constructor(id: string) {
        this.id = id;
        this.#server = createServer((request, response) => void this.#run(request, response));
    }

    /** Starts to listen and returns the address. */
    async start(): Promise<string> {
        return `127.0.0.1:${await openServer(this.#server, "127.0.0.1:0")}`;
    }

    /** Stops at once. */
    async stop(): Promise<void> {
        await closeServer(this.#server);
    }

    async #run(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const id = String(request.headers["fuchsiapath-attempt-id"]);
        if (request.headers["fuchsiapath-expect-instance"] !== this.id) {
            response.writeHead(421, { "fuchsiapath-instance-id": this.id }).end();
            return;
        }
        const body = await readBody(request, MAX_BODY_BYTES);
        this.received.push({
            id,
            account: request.headers["fuchsiapath-tenant"] as string | undefined,
            path: request.url ?? "",
            body: String(body),
            hasKey: request.headers.authorization !== undefined,
        });
        await new Promise(resolve => setTimeout(resolve, this.delayMs));
        const headers = { "fuchsiapath-attempt-id": id, "fuchsiapath-response-seal": `seal-${this.id}` };
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
        response.writeHead(this.isFailing ? 500 : 200, headers).end(`answer of ${this.id} to ${request.url}`);
    }

    #sendEndless(response: ServerResponse, pauseMs: number): void {
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
            const isTaken = response.write(pauseMs > 0 ? "x" : ENDLESS_CHUNK);
            if (pauseMs > 0 || isTaken) {
                setTimeout(sendMore, pauseMs);
                return;
            }
            response.once("drain", sendMore);
        };
        sendMore();
    }
}
