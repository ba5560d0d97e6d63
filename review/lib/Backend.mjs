// Stand-in of a backend: registers in the store, checks Fuchsiapath-Expect-Instance, runs requests and records them.
import { createServer } from "node:http";

const HEARTBEAT_MS = 1_500;

export class Backend {
    /** The requests that it began to work on. */
    runs = [];
    workMs = 20;
    #id;
    #entry;
    #store;
    #timer;
    #server = createServer((request, response) => void this.#serve(request, response));

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
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
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
            body: Buffer.concat(chunks).toString(),
            tenant: headers["fuchsiapath-tenant"],
            key: headers.authorization,
            time: performance.now(),
        });
        await new Promise(resolve => setTimeout(resolve, this.workMs));
        response.writeHead(200, {
            "fuchsiapath-attempt-id": id,
            "fuchsiapath-response-seal": `seal.${this.#id}.${id}`,
        });
        response.end(`answer to ${id}`);
    }
}
