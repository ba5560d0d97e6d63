import { setTimeout as wait } from "node:timers/promises";
import { request } from "undici";
import { EdgeProcess } from "../../support/EdgeProcess.js";
import type { Disturbances } from "./Disturbances.js";
import { LoopbackProxy } from "./LoopbackProxy.js";

const POLL_MS = 50;
const READY_TIMEOUT_MS = 30_000;

/** An entry host process whose links to the store and from other hosts pass through proxies. */
export class SoakHost {
    readonly id: string;
    readonly process: EdgeProcess;
    readonly storeProxy: LoopbackProxy;
    readonly peerProxy = new LoopbackProxy();
    /** The address by which other hosts reach it. */
    peerProxyAddress = "";
    /** What the process did without being told to: exits by itself. */
    readonly ownExits: string[] = [];
    readonly #disturbances: Disturbances;
    #isRunning = false;
    #isStopping = false;
    #isKilled = false;
    #exit: Promise<void> | undefined;

    /**
     * @param id - The host's id.
     * @param zone - Its availability zone.
     * @param storeProxy - Its listening proxy to the store.
     * @param storeAddress - The address of that proxy.
     * @param folder - Folder of its settings.
     * @param disturbances - Records its disturbances.
     */
    constructor(
        id: string,
        zone: string,
        storeProxy: LoopbackProxy,
        storeAddress: string,
        folder: string,
        disturbances: Disturbances,
    ) {
        this.id = id;
        this.storeProxy = storeProxy;
        this.#disturbances = disturbances;
        this.process = new EdgeProcess(id, storeAddress, folder, { settings: { zone } });
    }

    /** Whether the process runs. */
    isRunning(): boolean {
        return this.#isRunning;
    }

    /** Starts the process unless it runs; one that was killed ends first. */
    async start(): Promise<void> {
        if (this.#isKilled) {
            await this.#exit;
        }
        if (this.#isRunning) {
            return;
        }
        this.#isRunning = true;
        this.#isStopping = false;
        this.#isKilled = false;
        const endDisturbance = this.#disturbances.add(this.id);
        if (this.peerProxyAddress === "") {
            this.peerProxyAddress = await this.peerProxy.start();
        }
        await this.process.start();
        this.peerProxy.target = this.process.peerAddress;
        this.#exit = this.#watchExit();
        void this.waitUntilReady().finally(endDisturbance);
    }

    /**
     * Sends a signal to the process if it runs.
     * @param signal - The signal.
     */
    sendSignal(signal: NodeJS.Signals): void {
        if (!this.#isRunning) {
            return;
        }
        if (signal === "SIGTERM" || signal === "SIGKILL") {
            this.#isStopping = true;
            this.#isKilled ||= signal === "SIGKILL";
            this.#disturbances.add(this.id)();
        }
        this.process.sendSignal(signal);
    }

    /** Waits until the host is ready, at most READY_TIMEOUT_MS. */
    async waitUntilReady(): Promise<boolean> {
        const end = performance.now() + READY_TIMEOUT_MS;
        while (this.#isRunning && performance.now() < end) {
            const { readyAddress } = this.process;
            const isReady = await request(`http://${readyAddress}/fuchsiapath/ready`, { headersTimeout: 1_000 }).then(
                async response => {
                    await response.body.dump();
                    return response.statusCode === 200;
                },
                () => false,
            );
            if (isReady) {
                return true;
            }
            await wait(POLL_MS);
        }
        return false;
    }

    /** Kills the process and stops the proxies. */
    async stop(): Promise<void> {
        if (this.#isRunning) {
            this.sendSignal("SIGKILL");
            await this.process.waitForExit();
        }
        this.storeProxy.stop();
        this.peerProxy.stop();
    }

    async #watchExit(): Promise<void> {
        const code = await this.process.waitForExit();
        this.#isRunning = false;
        if (!this.#isStopping) {
            this.ownExits.push(`${this.id} exited by itself with code ${code}`);
        }
    }
}
