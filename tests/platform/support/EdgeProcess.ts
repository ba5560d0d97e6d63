import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import type { EdgeProcessOptions } from "./EdgeProcessOptions.js";
import { ReservedPorts } from "./ReservedPorts.js";

const PROGRAM = "dist/platform/bin/fuchsiapath-edge.js";
const GRACE_SECONDS = 3;
/** Number of ports of a process. */
const PORTS = 5;
const reservedPorts = new ReservedPorts(process.pid);

/** An entry host process on the loopback interface. */
export class EdgeProcess {
    readonly id: string;
    callerAddress = "";
    lookupAddress = "";
    readyAddress = "";
    metricsAddress = "";
    peerAddress = "";
    readonly #folder: string;
    readonly #storeAddress: string;
    readonly #options: EdgeProcessOptions;
    #child: ChildProcess | undefined;
    #output = "";
    #ports: readonly number[] | undefined;

    /**
     * @param id - The host's id.
     * @param storeAddress - Address of the platform's store.
     * @param folder - Folder of its settings file.
     * @param options - Arguments of Node and settings that differ from the defaults.
     */
    constructor(id: string, storeAddress: string, folder: string, options: EdgeProcessOptions = {}) {
        this.id = id;
        this.#storeAddress = storeAddress;
        this.#folder = folder;
        this.#options = options;
    }

    /**
     * Starts the process on free ports, or restarts it on its previous ports.
     * @param preload - Source of a module that the process runs first.
     */
    async start(preload?: string): Promise<void> {
        this.#ports ??= await findPorts();
        const [callers, ready, lookups, peers, metrics] = this.#ports.map(port => `127.0.0.1:${port}`);
        this.peerAddress = peers!;
        this.callerAddress = callers!;
        this.readyAddress = ready!;
        this.lookupAddress = lookups!;
        this.metricsAddress = metrics!;
        const file = join(this.#folder, `${this.id}.json`);
        writeFileSync(file, JSON.stringify(this.#createSettings()));
        const preloadArguments = preload === undefined
            ? []
            : ["--import", `data:text/javascript,${encodeURIComponent(preload)}`];
        this.#child = spawn(process.execPath, [...this.#options.nodeArguments ?? [], ...preloadArguments, PROGRAM], {
            env: { ...process.env, FUCHSIAPATH_NODE_FILE: file },
            stdio: ["ignore", "pipe", "inherit"],
        });
        this.#child.stdout!.on("data", (chunk: Buffer) => (this.#output += chunk.toString()));
    }

    /** Gets the id of the running process; undefined if there is none. */
    getProcessId(): number | undefined {
        return this.#child?.exitCode === null && this.#child.signalCode === null ? this.#child.pid : undefined;
    }

    /** Gets the log output so far. */
    getLog(): string {
        return this.#output;
    }

    /**
     * Sends a signal.
     * @param signal - The signal.
     */
    sendSignal(signal: NodeJS.Signals): void {
        this.#child?.kill(signal);
    }

    /** Waits until the process exits and returns its exit code; null if a signal ended it. */
    async waitForExit(): Promise<number | null> {
        const child = this.#child!;
        if (child.exitCode === null && child.signalCode === null) {
            await once(child, "close");
        }
        return child.exitCode;
    }

    /** Kills the process if it is running. */
    async stop(): Promise<void> {
        this.sendSignal("SIGKILL");
        await this.waitForExit();
    }

    #createSettings(): object {
        return {
            id: this.id,
            region: "region-1",
            zone: "zone-a",
            callerAddress: this.callerAddress,
            readyAddress: this.readyAddress,
            lookupAddress: this.lookupAddress,
            peerAddress: this.peerAddress,
            metricsAddress: this.metricsAddress,
            storeAddress: this.#storeAddress,
            graceSeconds: GRACE_SECONDS,
            lookupSeconds: 1,
            floor: 0.7,
            retryBudget: 0.2,
            retrySlack: 58,
            retryWindowSeconds: 10,
            ...this.#options.settings,
        };
    }
}

let running: Promise<unknown> = Promise.resolve();

/** Finds the ports of one process; the calls run one after another. */
async function findPorts(): Promise<readonly number[]> {
    const previous = running;
    const found = (async () => {
        await previous;
        const ports: number[] = [];
        while (ports.length < PORTS) {
            ports.push(await reservedPorts.findPort());
        }
        return ports;
    })();
    running = found;
    return await found;
}
