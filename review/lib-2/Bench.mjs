// A small deployment on loopback: a store, entry hosts, backends and clients, each of which follows the users' pages.
import { fork } from "node:child_process";
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { Agent, get, request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { Edge, isBuilt } from "./Edge.mjs";
import { Store } from "./Store.mjs";

const ZONES = ["semarang", "kudus", "jepara"];
const LIMIT_MS = 115_000;
const LIMITS = { max_header_bytes: 16_384, max_body_bytes: 67_108_864, header_timeout_s: 3, idle_timeout_s: 15 };
const HOST = "gate.example";
const KEY = "key-1";

/** Whether the disruption takes place. */
export const isTroubled = process.env.TROUBLE !== "0";

export class Bench {
    store = new Store();
    edges = [];
    /** The runs that backends have reported: { id, backend, isTroubled }. */
    runs = [];
    /** The requests of clients with what became of each. */
    requests = [];
    start = 0;
    #folder = mkdtempSync(join(tmpdir(), "review-"));
    #record;
    #children = [];
    #agents = new Map();
    #nextId = 1;
    #configuration;
    #timers = [];

    constructor(recordFile) {
        this.#record = recordFile;
        writeFileSync(recordFile, "");
        this.limit = setTimeout(() => this.finish(2, "the case took too long"), LIMIT_MS);
        for (const signal of ["SIGINT", "SIGTERM"]) {
            process.once(signal, () => this.finish(2, signal));
        }
        process.once("uncaughtException", error => this.finish(2, error.stack));
    }

    note(text) {
        const time = this.start === 0 ? "-" : ((performance.now() - this.start) / 1_000).toFixed(3);
        appendFileSync(this.#record, `${time} ${text}\n`);
    }

    /**
     * Starts all; `services` holds, for each service, the backends of a zone, the work of a request, the trouble that the first
     * `troubled` of them will be in (one number, or one for each zone), and the share of their requests that it hits.
     */
    async open({ services, routes, answerBytes = 1_500, edgesPerZone = 1, zones = ZONES, settings = {}, limits = LIMITS, moreRoutes = 0 }) {
        if (!isBuilt) {
            this.finish(2, "the deploy file's build has not been run");
        }
        const address = await this.store.start();
        const tenants = { clogs: { api_keys: [KEY], priority: 0 } };
        const tables = Object.fromEntries(
            Object.keys(services).map(name => [name, { health_path: "/health", max_conns: 330, protocol: "h1", tls: false }]),
        );
        const defaults = { host: HOST, public: false, target_latency_s: 2, max_attempts: 2 };
        const [service] = Object.keys(services);
        const more = Array.from({ length: moreRoutes }, (_, index) => [
            `r-more${index}`,
            { prefix: `/more${index}/`, kind: "safe", service, priority: 2, timeout_s: 3 },
        ]);
        this.#configuration = {
            version: 2,
            routes: Object.fromEntries(
                [...Object.entries(routes), ...more].map(([name, route]) => [name, { ...defaults, ...route }]),
            ),
            services: tables,
            limits,
            tenants,
            base_version: 1,
        };
        this.store.write("op/config", this.#configuration);
        this.note(`the configuration has ${JSON.stringify(this.#configuration).length} bytes`);
        for (const [zoneIndex, zone] of zones.entries()) {
            const backends = Object.entries(services).flatMap(([service, { count, slots, workMs, trouble, troubled, troubleShare }]) =>
                Array.from({ length: count }, (_, index) => ({
                    id: `i-${service}-${zone}-${index}`,
                    service,
                    slots,
                    workMs,
                    troubleShare,
                    ...(isTroubled && trouble !== undefined && index < (troubled[zoneIndex] ?? troubled) ? { trouble } : {}),
                }))
            );
            const addresses = await this.#startBackends(backends, answerBytes);
            for (const { id, service, slots, trouble } of backends) {
                this.note(`backend ${id} at ${addresses[id]}${trouble === undefined ? "" : `, trouble: ${trouble}`}`);
                this.store.write(`servers/${id}`, {
                    service, addr: addresses[id], zone, version: "v1", slots, state: "ready", cold_left_s: 0, seq: 4,
                    born: Date.now(),
                });
            }
            for (let index = 0; index < edgesPerZone; index++) {
                this.edges.push(
                    new Edge(`edge-${zone}-${index}`, zone, address, this.#folder, settings, (edge, reason) =>
                        this.note(`process of ${edge.id} ended by itself: ${reason}`)),
                );
            }
        }
        for (const edge of this.edges) {
            await edge.start();
        }
        await this.#waitUntilReady();
        await wait(4_000);
        this.start = performance.now();
        this.note("all entry hosts are ready; traffic starts");
    }

    /** Writes new versions of the configuration, each of which changes the time of one route, unless the disruption is left out. */
    storm({ afterMs, forMs, gapMs }) {
        if (!isTroubled) {
            return;
        }
        setTimeout(() => {
            const end = performance.now() + forMs;
            const timer = setInterval(() => {
                if (performance.now() >= end) {
                    clearInterval(timer);
                    this.note(`a storm ends with version ${this.#configuration.version}`);
                    return;
                }
                this.#configuration.version += 1 + this.#configuration.version % 2;
                const route = this.#configuration.routes["r-more0"];
                route.timeout_s = route.timeout_s === 3 ? 2 : 3;
                this.store.write("op/config", this.#configuration);
                this.note(`version ${this.#configuration.version} of the configuration is written`);
            }, gapMs);
            this.#timers.push(timer);
        }, afterMs);
    }

    /** Lets backends be in trouble for a time, unless the disruption is left out. */
    disturb({ afterMs, forMs }) {
        const apply = value => {
            this.note(value ? "the trouble of backends begins" : "the trouble of backends ends");
            this.#children.forEach(child => child.send({ isTroubled: value }));
        };
        if (isTroubled) {
            setTimeout(() => apply(true), afterMs);
            setTimeout(() => apply(false), afterMs + forMs);
        }
    }

    /** Sends requests of a kind at a steady rate over kept connections to entry hosts chosen at random. */
    load({ name, method, prefix, perSecond, deadlineMs, bodyBytes = 0, forMs }) {
        const end = performance.now() + forMs;
        const timer = setInterval(() => {
            if (performance.now() > end) {
                clearInterval(timer);
                return;
            }
            void this.#send({ name, method, path: `${prefix}${this.#nextId}`, deadlineMs, bodyBytes });
        }, 1_000 / perSecond);
        this.#timers.push(timer);
    }

    /** Waits until every request has ended, or for the given time. */
    async settle(limitMs) {
        const end = performance.now() + limitMs;
        while (performance.now() < end && this.requests.some(item => item.endTime === undefined)) {
            await wait(50);
        }
    }

    /** Ends all processes and the case: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
    finish(code, text) {
        this.note(`result ${code}: ${text}`);
        console.log(`result ${code}: ${text}`);
        clearTimeout(this.limit);
        this.#timers.forEach(timer => clearInterval(timer));
        this.edges.forEach(edge => edge.stop());
        this.#children.forEach(child => child.kill("SIGKILL"));
        this.store.stop();
        rmSync(this.#folder, { recursive: true, force: true });
        process.exit(code);
    }

    async #startBackends(backends, answerBytes) {
        const child = fork(fileURLToPath(new URL("./backends.mjs", import.meta.url)));
        this.#children.push(child);
        return await new Promise(resolve => {
            child.on("message", message => {
                if (message.addresses !== undefined) {
                    resolve(message.addresses);
                    return;
                }
                this.runs.push({ id: message.run, backend: message.backend, isTroubled: message.isTroubled });
                this.note(`${message.backend}${message.isTroubled ? ", in trouble," : ""} runs ${message.run}`);
            });
            child.send({ backends, answerBytes });
        });
    }

    async #waitUntilReady() {
        for (;;) {
            const states = await Promise.all(this.edges.map(edge => isReady(edge)));
            if (states.every(Boolean)) {
                return;
            }
            await wait(200);
        }
    }

    #send({ name, method, path, deadlineMs, bodyBytes }) {
        const id = `r${String(this.#nextId++).padStart(6, "0")}`;
        const running = this.edges.filter(edge => edge.isRunning());
        const edge = running[Math.floor(Math.random() * running.length)];
        if (edge === undefined) {
            return;
        }
        const agent = this.#getAgent(edge);
        const [host, port] = edge.front.split(":");
        const item = { id, name, edge: edge.id, time: performance.now() };
        this.requests.push(item);
        this.note(`${name} ${id} sent: ${method} ${path} to ${edge.id}, ${bodyBytes} bytes, limit ${deadlineMs} ms`);
        item.inTouch = edge.isInTouch();
        const end = (result, details) => {
            if (item.endTime === undefined) {
                item.endTime = performance.now();
                item.result = result;
                Object.assign(item, details);
                this.note(
                    `${name} ${id} at ${edge.id}: ${result} after ${Math.round(item.endTime - item.time)} ms` +
                        `${item.isKept ? ", kept connection" : ""}`,
                );
            }
        };
        const sent = request({
            host, port, agent, method, path,
            headers: {
                "host": HOST,
                "fuchsiapath-attempt-id": id,
                "fuchsiapath-deadline-ms": String(deadlineMs),
                "authorization": `Bearer ${KEY}`,
                ...(method === "GET" ? {} : { "content-length": String(bodyBytes) }),
            },
        }, response => {
            let body = "";
            response.setEncoding("latin1");
            response.on("data", chunk => (body += chunk));
            response.on("end", () => end(String(response.statusCode), { status: response.statusCode, body, headers: response.headers }));
            response.on("error", error => end(`${response.statusCode}, then cut (${error.code})`, { isCut: true }));
        });
        item.isKept = false;
        sent.on("socket", () => (item.isKept = sent.reusedSocket));
        sent.on("error", error => end(`no answer (${error.code})`, { isCut: error.code !== "ECONNREFUSED", hasNoAnswer: true }));
        // The client leaves at its time limit.
        setTimeout(() => {
            if (item.endTime === undefined) {
                end("no answer within the client's time limit", { isOverdue: true });
                sent.destroy();
            }
        }, deadlineMs);
        sent.end(method === "GET" ? undefined : "x".repeat(bodyBytes));
    }

    #getAgent(edge) {
        const agent = this.#agents.get(edge.id) ?? new Agent({ keepAlive: true, maxSockets: Infinity, scheduling: "lifo" });
        this.#agents.set(edge.id, agent);
        return agent;
    }
}

export async function wait(ms) {
    await new Promise(resolve => setTimeout(resolve, ms));
}

function isReady({ ready }) {
    return new Promise(resolve => {
        get(`http://${ready}/fuchsiapath/ready`, response => {
            response.resume();
            resolve(response.statusCode === 200);
        }).on("error", () => resolve(false));
    });
}
