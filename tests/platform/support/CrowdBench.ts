import { readdirSync } from "node:fs";
import { setTimeout as wait } from "node:timers/promises";
import * as assert from "uvu/assert";
import { createDocument } from "./createDocument.js";
import { Crowd } from "./Crowd.js";
import type { CrowdConnection } from "./Crowd.js";
import { EdgeFleet } from "./EdgeFleet.js";
import type { EdgeProcess } from "./EdgeProcess.js";
import { getPeakMemory } from "./getPeakMemory.js";

/** Memory of a machine, in bytes: some 90 MB above what a host needs without requests. */
const MEMORY_BYTES = 200_000_000;
/** Descriptors that a process may have open: 200 of them are kept for files. */
const MAX_DESCRIPTORS = 400;
/** The heap limit with which hosts run on the platform. */
const NODE_ARGUMENTS = ["--max-old-space-size=160", "--max-semi-space-size=2", "--expose-gc"];
const HOSTS = 2;
/** Slots of an upstream, far more than the crowd has requests at once. */
const SLOTS = 300;
/** How long a crowd presses, in milliseconds. */
const PRESS_MS = 6_000;
/** Time between two counts of descriptors, in milliseconds. */
const SAMPLE_MS = 100;
const BYTES_PER_MEGABYTE = 1_000_000;

/** Two hosts with the memory of small machines, and a crowd at the first of them. */
export class CrowdBench {
    readonly fleet = new EdgeFleet();
    readonly #crowd = new Crowd();
    #maxDescriptors = 0;
    #ordinaryAnswer = "";

    /**
     * Starts the hosts.
     * @param document - Fields that replace those of the default configuration.
     */
    async start(document: Record<string, unknown> = {}): Promise<void> {
        await this.fleet.start(HOSTS, ["catalogue", "orders", "books"], {
            nodeArguments: NODE_ARGUMENTS,
            settings: { memoryMegabytes: MEMORY_BYTES / BYTES_PER_MEGABYTE, maxDescriptors: MAX_DESCRIPTORS },
        });
        this.fleet.store.write("op/config", createDocument({ version: 8, ...document }));
        for (const id of this.fleet.upstreams.keys()) {
            this.fleet.publishUpstream(id, id.split("-")[1]!, { slots: SLOTS, seq: 5 });
        }
        await this.fleet.waitUntil(async () => await this.#isOrdinaryAnswered());
    }

    /** Stops the hosts and the crowd. */
    async stop(): Promise<void> {
        this.#crowd.close();
        await this.fleet.stop();
    }

    /**
     * Sets what all upstreams answer.
     * @param answer - The body; undefined for a short text that names the request.
     */
    applyAnswer(answer: Buffer | undefined): void {
        this.fleet.upstreams.forEach(upstream => (upstream.answer = answer));
    }

    /**
     * Lets a crowd press on the first host; checks that an ordinary request is answered while it is still there, and that both
     * hosts live and have stayed within the machine.
     * @param connections - What each connection of the crowd does.
     */
    async run(connections: readonly CrowdConnection[]): Promise<void> {
        const first = this.fleet.hosts[0]!;
        this.#crowd.open(first.callerAddress, connections);
        for (let pressedMs = 0; pressedMs < PRESS_MS; pressedMs += SAMPLE_MS) {
            await wait(SAMPLE_MS);
            this.#recordDescriptors(first);
        }
        this.#checkHosts();
        this.applyAnswer(undefined);
        await this.fleet.waitUntil(async () => await this.#isOrdinaryAnswered());
        this.#checkHosts();
    }

    async #isOrdinaryAnswered(): Promise<boolean> {
        const [host] = this.fleet.hosts;
        const answer = await this.fleet.send(host!, "/lookup/ordinary").then(
            ({ status, body }) => `${status} ${body}`,
            (error: Error) => error.message,
        );
        if (answer !== this.#ordinaryAnswer) {
            this.#ordinaryAnswer = answer;
            console.log(`ordinary request: ${answer}`);
        }
        return answer.startsWith("200 ") && answer.endsWith("to /lookup/ordinary");
    }

    #recordDescriptors(host: EdgeProcess): void {
        const id = host.getProcessId();
        if (id !== undefined) {
            this.#maxDescriptors = Math.max(this.#maxDescriptors, readdirSync(`/proc/${id}/fd`).length);
        }
    }

    #checkHosts(): void {
        const peaks = this.fleet.hosts.map(host => getPeakMemory(host));
        console.log(`peaks ${peaks.join()} bytes, descriptors ${this.#maxDescriptors}`);
        assert.ok(peaks.every(peak => peak !== undefined), "a process has ended");
        assert.ok(peaks.every(peak => peak! < MEMORY_BYTES), `memory ${peaks.join()}`);
        assert.ok(this.#maxDescriptors < MAX_DESCRIPTORS, `descriptors ${this.#maxDescriptors}`);
    }
}
