import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import net from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as wait } from "node:timers/promises";
import { MockPlatformStore } from "../../dist/tests/platform/support/MockPlatformStore.js";

/** The command of deploy/system.toml. */
const COMMAND = ["--max-old-space-size=160", "--max-semi-space-size=2", "--expose-gc", "target/fuchsiapath-edge.mjs"];
const BOUNDS = { grace_s: 6, ttl_max_s: 5, floor_share: 0.7, retry_budget: 0.2, budget_slack: 58, budget_window_s: 10 };

/** Entry hosts as processes of the deploy file's command, with the project's stand-in of the store, and a record of what happened. */
export class Rig {
    store = new MockPlatformStore();
    hosts = [];
    backends = [];
    #folder = mkdtempSync(join(tmpdir(), "review-"));
    #recordFile;
    #start = performance.now();
    #lines = [];

    constructor(recordFile) {
        this.#recordFile = recordFile;
        writeFileSync(recordFile, "");
        process.once("exit", () => this.hosts.forEach(host => host.isRunning() && host.child.kill("SIGKILL")));
        for (const name of ["SIGINT", "SIGTERM", "SIGHUP"]) {
            process.once(name, () => process.exit(2));
        }
    }

    note(text) {
        const line = `${((performance.now() - this.#start) / 1000).toFixed(3)} ${text}\n`;
        this.#lines.push(line);
        appendFileSync(this.#recordFile, line);
    }

    async start(zones, document) {
        const address = await this.store.start();
        this.storeAddress = address;
        this.store.write("op/config", document);
        for (const [index, zone] of zones.entries()) {
            this.hosts.push(await this.createHost(`edge-${index + 1}`, zone));
        }
        this.hosts.forEach(host => host.start());
        await this.waitUntil("all hosts are ready", async () =>
            (await Promise.all(this.hosts.map(host => host.isReady()))).every(Boolean));
        await wait(4_000);
    }

    async createHost(id, zone, settings = {}) {
        const ports = await findPorts(5);
        const host = new Host(this, id, zone, ports, this.#folder, { storeAddress: this.storeAddress, ...settings });
        return host;
    }

    register(backend, change = {}) {
        this.store.write(`servers/${backend.id}`, {
            service: backend.service, addr: backend.address, zone: backend.zone, version: "v1", slots: 6,
            state: "ready", cold_left_s: 0, seq: 1, born: backend.born, ...change,
        });
    }

    async waitUntil(what, check, limitMs = 30_000) {
        const end = performance.now() + limitMs;
        while (!(await check())) {
            if (performance.now() > end) {
                throw new Error(`not in time: ${what}`);
            }
            await wait(50);
        }
    }

    async stop() {
        await Promise.all(this.hosts.map(host => host.kill()));
        this.backends.forEach(backend => backend.stop());
        await Promise.race([this.store.stop(), wait(1_000)]);
        rmSync(this.#folder, { recursive: true, force: true });
    }
}

class Host {
    log = "";
    constructor(rig, id, zone, ports, folder, settings) {
        this.rig = rig;
        this.id = id;
        this.zone = zone;
        const [front, ready, directory, peer, metrics] = ports.map(port => `127.0.0.1:${port}`);
        Object.assign(this, { front, ready, directory, peer, metrics });
        this.file = join(folder, `${id}.json`);
        writeFileSync(this.file, JSON.stringify({
            id, region: "region-1", zone, callerAddress: front, readyAddress: ready, lookupAddress: directory,
            peerAddress: peer, metricsAddress: metrics, graceSeconds: BOUNDS.grace_s,
            lookupSeconds: BOUNDS.ttl_max_s, cpuShare: 0.54, cores: 1, linkMbps: 1000, memoryMegabytes: 350,
            maxDescriptors: 4100, floor: BOUNDS.floor_share, retryBudget: BOUNDS.retry_budget,
            retrySlack: BOUNDS.budget_slack, retryWindowSeconds: BOUNDS.budget_window_s, ...settings,
        }));
    }

    start() {
        const { PATH, HOME, LANG } = process.env;
        this.child = spawn(process.execPath, COMMAND, {
            env: { PATH, HOME, LANG, FUCHSIAPATH_NODE_FILE: this.file },
            stdio: ["ignore", "pipe", "pipe"],
        });
        this.exit = new Promise(resolve => this.child.once("exit", (code, signal) => {
            this.rig.note(`process ${this.id} ended: code ${code}, signal ${signal}`);
            resolve({ code, signal });
        }));
        this.child.stdout.on("data", chunk => this.log += chunk);
        this.child.stderr.on("data", chunk => this.log += chunk);
        this.rig.note(`process ${this.id} started, pid ${this.child.pid}`);
    }

    isRunning() {
        return this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null;
    }

    signal(name) {
        this.rig.note(`${name} to ${this.id}`);
        this.child.kill(name);
    }

    async kill() {
        if (this.isRunning()) {
            this.child.kill("SIGCONT");
            this.child.kill("SIGKILL");
            await this.exit;
        }
    }

    async isReady() {
        return await fetch(`http://${this.ready}/fuchsiapath/ready`, { signal: AbortSignal.timeout(1_000) })
            .then(async response => (await response.arrayBuffer(), response.status === 200), () => false);
    }
}

/** Below the usual range of the ports that the system gives out, so that no connection of another program takes one meanwhile. */
let nextPort = 15_000 + (process.pid % 400) * 40;

async function findPorts(count) {
    const ports = [];
    while (ports.length < count) {
        const port = nextPort++;
        const server = net.createServer();
        const isFree = await new Promise(resolve =>
            server.once("error", () => resolve(false)).listen(port, "127.0.0.1", () => resolve(true)));
        if (isFree) {
            await new Promise(resolve => server.close(resolve));
            ports.push(port);
        }
    }
    return ports;
}

/** The configuration of a small deployment, in the form of the pages. */
export function createDocument(change = {}) {
    const route = { timeout_s: 4, target_latency_s: 2, priority: 1, max_attempts: 2, public: false, host: "shop.example" };
    return {
        version: 7,
        routes: {
            "r-order": { ...route, prefix: "/order/", kind: "unsafe", service: "orders" },
            "r-lookup": { ...route, prefix: "/lookup/", kind: "safe", service: "catalogue" },
        },
        services: {
            orders: { health_path: "/health", max_conns: 330, protocol: "h1", tls: false },
            catalogue: { health_path: "/health", max_conns: 330, protocol: "h1", tls: false },
        },
        limits: { max_header_bytes: 16384, max_body_bytes: 67108864, header_timeout_s: 3, idle_timeout_s: 15 },
        tenants: { clogs: { api_keys: ["key-1"], priority: 0, rate_per_s: 200, burst: 200 } },
        base_version: 5,
        ...change,
    };
}

/** A backend on raw sockets: reads requests of HTTP/1.1 one after the other and has `answer` write what comes back. */
export class Backend {
    runs = [];
    sockets = new Set();
    born = Date.now();
    constructor(rig, id, service, zone, answer) {
        Object.assign(this, { rig, id, service, zone, answer });
        this.server = net.createServer(socket => this.#serve(socket));
        rig.backends.push(this);
    }

    async start(port = 0) {
        await new Promise(resolve => this.server.listen(port, "127.0.0.1", resolve));
        this.address = `127.0.0.1:${this.server.address().port}`;
        return this;
    }

    stop() {
        this.server.close();
        this.sockets.forEach(socket => socket.destroy());
    }

    #serve(socket) {
        let bytes = Buffer.alloc(0);
        let running = Promise.resolve();
        this.sockets.add(socket);
        socket.on("error", () => {});
        socket.on("close", () => this.sockets.delete(socket));
        socket.on("data", chunk => {
            bytes = Buffer.concat([bytes, chunk]);
            for (let request = take(); request !== undefined; request = take()) {
                const taken = request;
                running = running.then(() => this.#run(taken, socket)).catch(() => {});
            }
        });
        const take = () => {
            const end = bytes.indexOf("\r\n\r\n");
            if (end < 0) {
                return undefined;
            }
            const [first, ...fields] = bytes.subarray(0, end).toString("latin1").split("\r\n");
            const headers = Object.fromEntries(fields.map(field => {
                const colon = field.indexOf(":");
                return [field.slice(0, colon).toLowerCase(), field.slice(colon + 1).trim()];
            }));
            const rest = bytes.subarray(end + 4);
            const length = Number(headers["content-length"] ?? 0);
            const taken = headers["transfer-encoding"] === "chunked" ? readChunks(rest)
                : rest.length < length ? undefined : { body: rest.subarray(0, length), rest: rest.subarray(length) };
            if (taken === undefined) {
                return undefined;
            }
            const { body } = taken;
            bytes = taken.rest;
            const [method, path] = first.split(" ");
            return { method, path, headers, body, id: headers["fuchsiapath-attempt-id"] };
        };
    }

    async #run(request, socket) {
        if (request.headers["fuchsiapath-expect-instance"] !== this.id) {
            socket.write(`HTTP/1.1 421 Misdirected Request\r\nFuchsiapath-Not-Executed: 1\r\nFuchsiapath-Instance-Id: ${this.id}\r\nContent-Length: 0\r\n\r\n`);
            return;
        }
        this.runs.push(request);
        this.rig.note(`backend ${this.id} runs ${request.id} ${request.method} ${request.path}`);
        await this.answer(request, socket, this);
    }
}

/** The head of a whole answer with the fields that the pages ask for. */
export function createHead(request, backend, { status = "200 OK", fields = [] } = {}) {
    return [`HTTP/1.1 ${status}`, `Fuchsiapath-Attempt-Id: ${request.id}`,
        `Fuchsiapath-Response-Seal: seal.${backend.id}.${request.id}`, ...fields, "", ""].join("\r\n");
}

/** A client's connection that is kept open; sends one request after the other. */
export class Client {
    constructor(rig, host) {
        this.rig = rig;
        this.host = host;
        this.socket = undefined;
    }

    async #connect() {
        const [ip, port] = this.host.front.split(":");
        const socket = net.connect(Number(port), ip);
        socket.on("error", () => {});
        await new Promise((resolve, reject) => socket.once("connect", resolve).once("close", () => reject(new Error("not connected"))));
        this.socket = socket;
    }

    /**
     * Sends a request; resolves with the status, the fields and the body, or with `closed` if the connection ended before a whole answer.
     * With `isChunked` the body goes in chunks; with `leaveMs` the client leaves after that time if there is no whole answer.
     */
    async send({ id, method = "GET", path, body: given = "", deadlineMs = 4_000, key = "key-1", fields = [], isChunked = false, leaveMs }) {
        const body = method === "GET" ? "" : given;
        const isKept = this.socket !== undefined && !this.socket.destroyed && !this.socket.readableEnded;
        if (!isKept) {
            await this.#connect();
        }
        const { socket } = this;
        this.rig.note(`client sends ${id} ${method} ${path} to ${this.host.id} on a ${isKept ? "kept" : "new"} connection`);
        socket.write([`${method} ${path} HTTP/1.1`, "Host: shop.example", `Fuchsiapath-Attempt-Id: ${id}`,
            `Fuchsiapath-Deadline-Ms: ${deadlineMs}`, `Authorization: Bearer ${key}`, ...fields,
            ...(method === "GET" ? [] : [isChunked ? "Transfer-Encoding: chunked" : `Content-Length: ${Buffer.byteLength(body)}`]),
            "", ""].join("\r\n") + (isChunked ? toChunks(body) : body));
        const answer = await readAnswer(socket, leaveMs ?? deadlineMs + 500);
        if (answer.closed !== undefined || /^close$/i.test(answer.headers?.connection ?? "")) {
            socket.destroy();
            this.socket = undefined;
        }
        this.rig.note(`client got for ${id}: ${answer.closed ?? `${answer.status}, ${answer.body.length} bytes`}`
            + (answer.closed === undefined ? "" : ` after ${answer.received} bytes ${JSON.stringify(answer.text)}`));
        return { ...answer, isKept };
    }

    close() {
        this.socket?.destroy();
    }
}

function toChunks(body) {
    return `${body === "" ? "" : `${Buffer.byteLength(body).toString(16)}\r\n${body}\r\n`}0\r\n\r\n`;
}

function readAnswer(socket, limitMs) {
    return new Promise(resolve => {
        let bytes = Buffer.alloc(0);
        const finish = answer => {
            clearTimeout(timer);
            socket.off("data", receive).off("close", close).off("end", close);
            resolve(answer);
        };
        const close = () => finish({ closed: "connection closed", received: bytes.length, text: bytes.toString("latin1").slice(0, 60) });
        const timer = setTimeout(() => finish({ closed: "no answer in time", received: bytes.length, text: "" }), limitMs);
        const receive = chunk => {
            bytes = Buffer.concat([bytes, chunk]);
            const parsed = parse(bytes);
            if (parsed !== undefined) {
                finish(parsed);
            }
        };
        socket.on("data", receive).once("close", close).once("end", close);
    });
}

function parse(bytes) {
    const end = bytes.indexOf("\r\n\r\n");
    if (end < 0) {
        return undefined;
    }
    const [first, ...fields] = bytes.subarray(0, end).toString("latin1").split("\r\n");
    const headers = Object.fromEntries(fields.map(field => [field.split(":")[0].toLowerCase(), field.slice(field.indexOf(":") + 1).trim()]));
    const status = Number(first.split(" ")[1]);
    const rest = bytes.subarray(end + 4);
    if (headers["transfer-encoding"] === "chunked") {
        const taken = readChunks(rest);
        return taken && { status, headers, body: taken.body };
    }
    const length = Number(headers["content-length"] ?? 0);
    return rest.length < length ? undefined : { status, headers, body: rest.subarray(0, length) };
}

/** Reads a whole body in chunks; returns undefined while bytes are missing. */
function readChunks(bytes) {
    const parts = [];
    let rest = bytes;
    for (;;) {
        const line = rest.indexOf("\r\n");
        const size = line < 0 ? NaN : parseInt(rest.subarray(0, line).toString(), 16);
        if (Number.isNaN(size) || rest.length < line + 4 + size) {
            return undefined;
        }
        parts.push(rest.subarray(line + 2, line + 2 + size));
        rest = rest.subarray(line + 4 + size);
        if (size === 0) {
            return { body: Buffer.concat(parts), rest };
        }
    }
}
