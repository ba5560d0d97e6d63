// Starts the product's program with the command and the settings template of deploy/, as the platform would.
import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";

const ROOT = new URL("../..", import.meta.url).pathname;
const DEPLOY = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
const COMMAND = /^run = "(.*)"$/m.exec(DEPLOY)[1].split(" ");
const TEMPLATE = readFileSync(join(ROOT, /^template = "(.*)"$/m.exec(DEPLOY)[1]), "utf8");

/** The bounds of the site kelom-gate. */
export const BOUNDS = {
    contact_s: 3,
    drain_s: 2,
    grace_s: 6,
    config_apply_s: 2,
    ttl_max_s: 5,
    floor_share: 0.7,
    retry_budget: 0.2,
    budget_slack: 58,
    budget_window_s: 10,
};

/** Fills in the template: placeholders {{a}}, {{a.b}}, {{a.0}} and {{a|json}}. */
function fillTemplate(fields) {
    return TEMPLATE.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, json) => {
        const value = path.split(".").reduce((object, name) => object?.[name], fields);
        return json === undefined ? String(value ?? "") : JSON.stringify(value ?? null);
    });
}

const children = new Set();
process.on("exit", () => children.forEach(child => child.kill("SIGKILL")));
["SIGINT", "SIGTERM", "SIGHUP"].forEach(name => process.on(name, () => process.exit(2)));

export class Edge {
    /** Each end of the process that the test did not order: { time, code, signal }. */
    ends = [];
    isKept = true;
    name;
    ip;
    #folder = mkdtempSync(join(tmpdir(), "review-edge-"));
    #fields;
    #child;
    #restartMs;
    #output = "";
    #ordered = false;

    /** @param restartMs - Delay after which the platform starts an ended process again. */
    constructor(name, storeAddress, { zone = "zone-a", ip = "127.0.0.1", restartMs = 500 } = {}) {
        this.name = name;
        this.ip = ip;
        this.#restartMs = restartMs;
        this.#fields = {
            node: name,
            region: "region-1",
            zone,
            ip,
            platform: { addr: storeAddress },
            limits: { cpu_share: 0.54, cores: 1, link_mbps: 1000 },
            bounds: BOUNDS,
        };
    }

    async prepare() {
        const [front, ready, directory, peers, metrics] = await findPorts(this.ip, 5);
        this.front = { host: this.ip, port: front };
        this.ready = { host: this.ip, port: ready };
        this.#fields.listen = {
            front: `${this.ip}:${front}`,
            ready: `${this.ip}:${ready}`,
            directory: `${this.ip}:${directory}`,
        };
        this.#fields.internal_ports = [peers, metrics];
        this.directory = { host: this.ip, port: directory };
        this.peers = { host: this.ip, port: peers };
    }

    /** Writes the settings file and starts the process. */
    start() {
        const file = join(this.#folder, "settings");
        writeFileSync(file, fillTemplate(this.#fields));
        this.#ordered = false;
        const [program, ...args] = COMMAND;
        const child = spawn(program === "node" ? process.execPath : program, args, {
            cwd: ROOT,
            env: { PATH: process.env.PATH, HOME: process.env.HOME ?? "/", FUCHSIAPATH_NODE_FILE: file },
            stdio: ["ignore", "pipe", "pipe"],
        });
        this.#child = child;
        children.add(child);
        child.stdout.on("data", chunk => this.#output += chunk);
        child.stderr.on("data", chunk => this.#output += chunk);
        child.once("exit", (code, signal) => {
            children.delete(child);
            if (!this.#ordered) {
                this.ends.push({ time: performance.now(), code, signal });
            }
            if (this.isKept && this.#child === child) {
                setTimeout(() => this.isKept && this.#child === child && this.start(), this.#restartMs);
            }
        });
    }

    get pid() {
        return this.#child.pid;
    }

    getOutput() {
        return this.#output;
    }

    isRunning() {
        return this.#child.exitCode === null && this.#child.signalCode === null;
    }

    /** Sends a signal that does not end the process. */
    signal(name) {
        this.#child.kill(name);
    }

    /** Kills the process; it is started again after the delay. */
    kill() {
        this.#ordered = true;
        this.#child.kill("SIGKILL");
    }

    /** Asks the process to stop, and kills it after grace_s; it is started again after it has ended. */
    terminate() {
        this.#ordered = true;
        const child = this.#child;
        child.kill("SIGTERM");
        const timer = setTimeout(() => child.kill("SIGKILL"), BOUNDS.grace_s * 1_000);
        child.once("exit", () => clearTimeout(timer));
    }

    /** Waits until another process has been started. */
    async waitForStart() {
        const child = this.#child;
        while (this.#child === child) {
            await new Promise(resolve => setTimeout(resolve, 20));
        }
    }

    async stop() {
        this.isKept = false;
        this.#ordered = true;
        if (this.isRunning()) {
            this.#child.kill("SIGKILL");
            await once(this.#child, "exit");
        }
        rmSync(this.#folder, { recursive: true, force: true });
    }
}

/** Below the range from which the system takes the ports of outgoing connections. */
const FIRST_PORT = 12_000;
const PORTS = 18_000;
let nextPort = Math.floor(Math.random() * PORTS);

async function findPorts(ip, count) {
    const ports = [];
    while (ports.length < count) {
        const port = FIRST_PORT + nextPort++ % PORTS;
        const server = createServer().listen(port, ip);
        if (await once(server, "listening").then(() => true, () => false)) {
            ports.push(port);
            await new Promise(resolve => server.close(resolve));
        }
    }
    return ports;
}
