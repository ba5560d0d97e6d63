import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as wait } from "node:timers/promises";
import { Agent, request } from "undici";
import * as assert from "uvu/assert";
import { createDocument } from "./createDocument.js";
import { createRegistration } from "./createRegistration.js";
import { EdgeProcess } from "./EdgeProcess.js";
import type { EdgeProcessOptions } from "./EdgeProcessOptions.js";
import type { EdgeResponse } from "./EdgeResponse.js";
import type { EdgeSendOptions } from "./EdgeSendOptions.js";
import { MockPlatformStore } from "./MockPlatformStore.js";
import { MockPlatformUpstream } from "./MockPlatformUpstream.js";

const POLL_MS = 50;
/** Far above all expected times, so that tests also pass on a busy machine. */
const WAIT_TIMEOUT_MS = 30_000;

/** Entry hosts as processes, with a mock store and mock upstreams. */
export class EdgeFleet {
    readonly store = new MockPlatformStore();
    readonly upstreams = new Map<string, MockPlatformUpstream>();
    hosts: EdgeProcess[] = [];
    readonly #folder = mkdtempSync(join(tmpdir(), "fuchsiapath-edge-"));
    readonly #addresses = new Map<string, string>();
    #nextRequest = 0;

    /**
     * Starts the hosts and two upstreams for each service; waits until all hosts are ready and know each other.
     * @param hosts - Number of hosts.
     * @param services - Names of the services.
     * @param options - What differs from the defaults of the hosts.
     * @param document - The first configuration.
     */
    async start(
        hosts: number,
        services: readonly string[],
        options: EdgeProcessOptions = {},
        document: Record<string, unknown> = createDocument(),
    ): Promise<void> {
        const address = await this.store.start();
        this.store.write("op/config", document);
        for (const service of services) {
            await this.addUpstream(`i-${service}-1`, service);
            await this.addUpstream(`i-${service}-2`, service);
        }
        this.hosts = Array.from(
            { length: hosts },
            (_, index) => new EdgeProcess(`edge-${index}`, address, this.#folder, options),
        );
        await Promise.all(this.hosts.map(host => host.start()));
        await this.waitUntil(async () =>
            (await Promise.all(this.hosts.map(host => this.isReady(host)))).every(Boolean)
        );
        await this.waitUntil(async () => (await this.findAddresses(this.hosts[0]!)).length === hosts);
    }

    /** Stops all hosts, upstreams and the store at once. */
    async stop(): Promise<void> {
        await Promise.all(this.hosts.map(host => host.stop()));
        await Promise.all([...this.upstreams.values()].map(upstream => upstream.stop()));
        await this.store.stop();
        rmSync(this.#folder, { recursive: true });
    }

    /**
     * Writes the registration of an upstream to the store.
     * @param id - The upstream's id.
     * @param service - The upstream's service.
     * @param change - Fields that replace those of the default registration.
     */
    publishUpstream(id: string, service: string, change: Record<string, unknown> = {}): void {
        this.store.write(`servers/${id}`, createRegistration({ service, addr: this.#addresses.get(id), ...change }));
    }

    /**
     * Sends one request on a connection of its own.
     * @param host - The destination.
     * @param path - The path.
     * @param options - Options of the request; the default is a lookup with a valid key.
     */
    async send(host: EdgeProcess, path: string, options: EdgeSendOptions = {}): Promise<EdgeResponse> {
        const key = "key" in options ? options.key : "key-1";
        const dispatcher = new Agent({ pipelining: 0 });
        const response = await request(`http://${host.callerAddress}${path}`, {
            dispatcher,
            method: options.method ?? "GET",
            body: options.method === "POST" ? options.body : null,
            headers: {
                "host": "shop.example",
                "fuchsiapath-attempt-id": options.id ?? `a${this.#nextRequest++}`,
                "fuchsiapath-deadline-ms": `${options.deadlineMs ?? 2_500}`,
                ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
            },
        });
        const body = await response.body.text();
        void dispatcher.close();
        return { status: response.statusCode, headers: response.headers, body };
    }

    /**
     * Starts an upstream and registers it.
     * @param id - Its id.
     * @param service - Its service.
     * @param change - Fields that replace those of the default registration.
     */
    async addUpstream(id: string, service: string, change: Record<string, unknown> = {}): Promise<void> {
        const upstream = new MockPlatformUpstream(id);
        this.upstreams.set(id, upstream);
        this.#addresses.set(id, await upstream.start());
        this.publishUpstream(id, service, change);
    }

    /**
     * Whether a host's readiness probe succeeds.
     * @param host - The host.
     */
    async isReady(host: EdgeProcess): Promise<boolean> {
        return await request(`http://${host.readyAddress}/fuchsiapath/ready`).then(
            async response => {
                await response.body.dump();
                return response.statusCode === 200;
            },
            () => false,
        );
    }

    /**
     * Finds the host addresses that a host returns to callers.
     * @param host - The host.
     */
    async findAddresses(host: EdgeProcess): Promise<readonly string[]> {
        const query = "name=shop.example&region=region-1&zone=zone-a";
        const response = await request(`http://${host.lookupAddress}/fuchsiapath/resolve?${query}`);
        const body = await response.body.text();
        assert.is(response.statusCode, 200, `the lookup at ${host.id} was answered ${response.statusCode} ${body}`);
        return (JSON.parse(body) as { addrs: string[]; }).addrs;
    }

    /** Writes the log of each host so far into a file and returns the paths. */
    writeLogs(): readonly string[] {
        return this.hosts.map(host => {
            const file = join(this.#folder, `${host.id}.log`);
            writeFileSync(file, host.getLog());
            return file;
        });
    }

    /**
     * Waits until a condition is true.
     * @param isDone - The condition.
     */
    async waitUntil(isDone: () => Promise<boolean>): Promise<void> {
        const end = Date.now() + WAIT_TIMEOUT_MS;
        while (!(await isDone())) {
            assert.ok(Date.now() < end, "the condition was not met in time");
            await wait(POLL_MS);
        }
    }
}
