// An entry host on loopback, started with the command of the deploy file and restarted when it ends, as the platform does.
import { spawn } from "node:child_process";
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
const RESTART_MS = 300;
const GRACE_MS = 6_000;
/** contact_s: a machine is in touch once its process has run for so long. */
const CONTACT_MS = 3_000;

/** Whether the deploy file's build has been run. */
export const isBuilt = existsSync(join(ROOT, "target", "fuchsiapath-edge.mjs"));

export class Edge {
    /** Times at which the process ended by itself, in milliseconds of performance.now(). */
    ends = [];
    /** Times of SIGTERM, in milliseconds of performance.now(). */
    terminations = [];
    log = "";
    #child;
    #isStopped = false;
    #isPlanned = false;
    #file;
    #onEnd;

    constructor(id, zone, store, folder, settings, onEnd) {
        Object.assign(this, { id, zone, store });
        this.settings = settings;
        this.#file = join(folder, `${id}.json`);
        this.#onEnd = onEnd;
    }

    async start() {
        const ports = [];
        while (ports.length < 5) {
            ports.push(await findPort());
        }
        const [front, ready, lookup, peer, metrics] = ports.map(port => `127.0.0.1:${port}`);
        Object.assign(this, { front, ready, lookup });
        // The fields of deploy/settings.json.template.
        const fields = {
            id: this.id,
            region: "jawa-tengah",
            zone: this.zone,
            callerAddress: front,
            readyAddress: ready,
            lookupAddress: lookup,
            peerAddress: peer,
            metricsAddress: metrics,
            storeAddress: this.store,
            graceSeconds: GRACE_MS / 1_000,
            lookupSeconds: 5,
            cpuShare: 0.54,
            cores: 1,
            linkMbps: 1000,
            memoryMegabytes: 350,
            maxDescriptors: 4100,
            floor: 0.7,
            retryBudget: 0.2,
            retrySlack: 58,
            retryWindowSeconds: 10,
            ...this.settings,
        };
        writeFileSync(this.#file, JSON.stringify(fields));
        this.#spawn();
    }

    /** Stops the process as the platform does: SIGTERM, and SIGKILL after grace_s; it is started again after it has ended. */
    terminate() {
        const child = this.#child;
        this.#isPlanned = true;
        this.terminations.push(performance.now());
        child.kill("SIGTERM");
        const timer = setTimeout(() => child.kill("SIGKILL"), GRACE_MS);
        child.once("exit", () => clearTimeout(timer));
    }

    isInTouch() {
        return this.isRunning() && performance.now() - this.startTime >= CONTACT_MS;
    }

    isRunning() {
        return this.#child !== undefined && this.#child.exitCode === null && this.#child.signalCode === null;
    }

    stop() {
        this.#isStopped = true;
        this.#child?.kill("SIGKILL");
    }

    #spawn() {
        const run = /^run = "(.*)"$/m.exec(readFileSync(join(ROOT, "deploy", "system.toml"), "utf8"))[1];
        const [program, ...words] = run.split(" ");
        this.startTime = performance.now();
        this.#child = spawn(program === "node" ? process.execPath : program, words, {
            cwd: ROOT,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, FUCHSIAPATH_NODE_FILE: this.#file },
            stdio: ["ignore", "pipe", "pipe"],
        });
        this.#child.stdout.on("data", chunk => (this.log = (this.log + chunk).slice(-200_000)));
        let errors = "";
        this.#child.stderr.on("data", chunk => (errors = (errors + chunk).slice(0, 20_000)));
        this.#child.once("exit", (code, signal) => {
            if (!this.#isStopped) {
                if (!this.#isPlanned) {
                    this.ends.push(performance.now());
                    const reason = errors.split("\n").find(line => line.startsWith("FATAL")) ?? "";
                    this.#onEnd?.(this, `code ${code}, signal ${signal} ${reason}`);
                }
                this.#isPlanned = false;
                setTimeout(() => this.#isStopped || this.#spawn(), RESTART_MS);
            }
        });
    }
}

let nextPort = 20_000 + (process.pid * 37) % 9_000;

/** Finds a free port below the range for outgoing connections. */
async function findPort() {
    for (;;) {
        const port = nextPort++;
        const isFree = await new Promise(resolve => {
            const server = createServer().once("error", () => resolve(false));
            server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
        });
        if (isFree) {
            return port;
        }
    }
}
