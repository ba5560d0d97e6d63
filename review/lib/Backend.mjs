// Stand-in of a backend: registers in the store, checks Fuchsiapath-Expect-Instance, runs requests and records them.
import { createServer } from "node:http";

const HEARTBEAT_MS = 1_500;
/** Idle connections are closed after this time, which the Keep-Alive header states. */
const IDLE_MS = 10_000;

/** Longer bodies are recorded by their length only. */
const MAX_RECORDED_BYTES = 1_000;

/** Reads a body; undefined if its sender has broken off. */
async function readWhole(request) {
    const chunks = [];
    try {
        for await (const chunk of request) {
            chunks.push(chunk);
        }
    }
    catch {
        return undefined;
    }
    return Buffer.concat(chunks);
}

export class Backend {
    /** The requests that it began to work on. */
    runs = [];
    workMs = 20;
    getWorkMs = () => this.workMs;
    getBody = id => `answer to ${id}`;
    #id;
    #entry;
    #store;
    #timer;
    #server = createServer({ keepAliveTimeout: IDLE_MS }, (request, response) => void this.#serve(request, response));

    constructor(id, service, store, entry = {}) {
        this.#id = id;
        this.#store = store;
        this.#entry = {
            service,
            zone: "zone-a",
            version: "v1",
            slots: 6,
            state: "ready",
            cold_left_s: 0,
            seq: 0,
            born: Date.now(),
            ...entry,
        };
    }

    async start(host = "127.0.0.1") {
        await new Promise(resolve => this.#server.listen(0, host, resolve));
        this.#entry.addr = `${host}:${this.#server.address().port}`;
        this.#beat();
        this.#timer = setInterval(() => this.#beat(), HEARTBEAT_MS);
    }

    closeConnections() {
        this.#server.closeAllConnections();
    }

    stop() {
        clearInterval(this.#timer);
        this.#server.close();
        this.#server.closeAllConnections();
    }

    #beat() {
        this.#entry.seq++;
        this.#store.write(`servers/${this.#id}`, this.#entry);
    }

    async #serve(request, response) {
        const headers = request.headers;
        const id = String(headers["fuchsiapath-attempt-id"]);
        const body = await readWhole(request);
        if (body === undefined) {
            return;
        }
        if (request.url === "/health") {
            response.writeHead(200, { "fuchsiapath-instance-id": this.#id }).end();
            return;
        }
        const expected = headers["fuchsiapath-expect-instance"];
        if (expected !== undefined && expected !== this.#id) {
            response.writeHead(421, { "fuchsiapath-instance-id": this.#id }).end();
            return;
        }
        this.runs.push({
            id,
            backend: this.#id,
            method: request.method,
            path: request.url,
            body: body.length > MAX_RECORDED_BYTES ? `${body.length} bytes` : body.toString(),
            tenant: headers["fuchsiapath-tenant"],
            key: headers.authorization,
            time: performance.now(),
        });
        await new Promise(resolve => setTimeout(resolve, this.getWorkMs()));
        response.writeHead(200, {
            "fuchsiapath-attempt-id": id,
            "fuchsiapath-response-seal": `seal.${this.#id}.${id}`,
        });
        response.end(this.getBody(id, request.url));
    }
}
