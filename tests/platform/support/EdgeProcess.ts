import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { join } from "node:path";

const PROGRAM = "dist/platform/bin/fuchsiapath-edge.js";
const GRACE_SECONDS = 3;
/** Ports of one process. */
const PORTS = 5;
/** Below the ports that the system gives to outgoing connections, which could take those of a process that is down. */
const FIRST_PORT = 20_000;
/** Test processes that run side by side have other blocks, as they have other process ids. */
const BLOCKS = 100;
const BLOCK_PORTS = 120;
let nextPort = FIRST_PORT + (process.pid % BLOCKS) * BLOCK_PORTS;

/** An entry host of the platform as a process on loopback. */
export class EdgeProcess {
    readonly id: string;
    callerAddress = "";
    lookupAddress = "";
    readyAddress = "";
    metricsAddress = "";
    readonly #folder: string;
    readonly #storeAddress: string;
    #child: ChildProcess | undefined;
    #output = "";
    #ports: readonly number[] | undefined;

    /**
     * @param id - The host's id.
     * @param storeAddress - Where the platform's store is.
     * @param folder - Where its settings file goes.
     */
    constructor(id: string, storeAddress: string, folder: string) {
        this.id = id;
        this.#storeAddress = storeAddress;
        this.#folder = folder;
    }

    /**
     * Starts the process on free ports, or again on those that it had.
     * @param preload - Source of a module that runs in it first.
     */
    async start(preload?: string): Promise<void> {
        this.#ports ??= await Promise.all(Array.from({ length: PORTS }, findPort));
        const [callers, ready, lookups, peers, metrics] = this.#ports.map(port => `127.0.0.1:${port}`);
        this.callerAddress = callers!;
        this.readyAddress = ready!;
        this.lookupAddress = lookups!;
        this.metricsAddress = metrics!;
        const file = join(this.#folder, `${this.id}.json`);
        writeFileSync(file, JSON.stringify(this.#createSettings(peers!)));
        const preloadArguments = preload === undefined
            ? []
            : ["--import", `data:text/javascript,${encodeURIComponent(preload)}`];
        this.#child = spawn(process.execPath, [...preloadArguments, PROGRAM], {
            env: { ...process.env, FUCHSIAPATH_NODE_FILE: file },
            stdio: ["ignore", "pipe", "inherit"],
        });
        this.#child.stdout!.on("data", (chunk: Buffer) => (this.#output += chunk.toString()));
    }

    /** Gets the log so far. */
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

    /** Waits for the end of the process and returns its exit code; null if a signal ended it. */
    async waitForExit(): Promise<number | null> {
        const child = this.#child!;
        if (child.exitCode === null && child.signalCode === null) {
            await once(child, "close");
        }
        return child.exitCode;
    }

    /** Kills the process if it still runs. */
    async stop(): Promise<void> {
        this.sendSignal("SIGKILL");
        await this.waitForExit();
    }

    #createSettings(peerAddress: string): object {
        return {
            id: this.id,
            region: "region-1",
            zone: "zone-a",
            callerAddress: this.callerAddress,
            readyAddress: this.readyAddress,
            lookupAddress: this.lookupAddress,
            peerAddress,
            metricsAddress: this.metricsAddress,
            storeAddress: this.#storeAddress,
            graceSeconds: GRACE_SECONDS,
            lookupSeconds: 1,
            floor: 0.7,
            retryBudget: 0.2,
            retrySlack: 58,
            retryWindowSeconds: 10,
        };
    }
}

async function findPort(): Promise<number> {
    for (;;) {
        const port = nextPort++;
        const server = createServer().listen(port, "127.0.0.1");
        const isFree = await once(server, "listening").then(() => true, () => false);
        server.close();
        if (isFree) {
            return port;
        }
    }
}
