import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createDocument } from "../../support/createDocument.js";
import { createRegistration } from "../../support/createRegistration.js";
import { MockPlatformStore } from "../../support/MockPlatformStore.js";
import { StoreFaultMode } from "../../support/StoreFaultMode.js";
import type { SoakPlan } from "../plan/SoakPlan.js";
import { SoakProfile } from "../plan/SoakProfile.js";
import { Disturbances } from "./Disturbances.js";
import { LoopbackProxy } from "./LoopbackProxy.js";
import { SoakHost } from "./SoakHost.js";
import { SoakKeys } from "./SoakKeys.js";
import { SoakUpstream } from "./SoakUpstream.js";

const HOST_PREFIX = "fuchsiapath/hosts/";
const SERVICES = ["catalogue", "orders", "books"] as const;
const SLOTS = 40;
const FIRST_VERSION = 7;
const VERSION_STEP = 3;

/** Entry hosts as processes, upstreams and a store, with a proxy on each link between them. */
export class SoakFleet {
    readonly store = new MockPlatformStore();
    readonly keys = new SoakKeys();
    readonly hosts: SoakHost[] = [];
    readonly upstreams: SoakUpstream[] = [];
    /** When the store acknowledged that an upstream leaves, by its id, in milliseconds of the monotonic clock. */
    readonly leavingTimes = new Map<string, number>();
    readonly disturbances: Disturbances;
    readonly #folder = mkdtempSync(join(tmpdir(), "fuchsiapath-soak-"));
    readonly #plan: SoakPlan;
    #version = FIRST_VERSION;
    #nextUpstream = 0;

    /**
     * @param plan - Names the size of the fleet.
     * @param contactMs - How long a host is out of touch after a disturbance, in milliseconds.
     */
    constructor(plan: SoakPlan, contactMs: number) {
        this.#plan = plan;
        this.disturbances = new Disturbances(contactMs);
        this.store.changeValue = (key, value) => this.#createValue(key, value);
    }

    /** Starts all parts and waits until all hosts are ready. */
    async start(): Promise<void> {
        const { hosts, zones, upstreamsPerService, seed } = this.#plan;
        const storeAddress = await this.store.start();
        this.publishNextKey();
        for (const service of SERVICES) {
            for (let index = 0; index < upstreamsPerService; index++) {
                const upstream = new SoakUpstream(service, getZone(index % zones), seed + this.upstreams.length);
                this.upstreams.push(upstream);
                await this.startUpstream(upstream, service);
            }
        }
        for (let index = 0; index < hosts; index++) {
            const proxy = new LoopbackProxy();
            proxy.target = storeAddress;
            const address = await proxy.start();
            const zone = getZone(index % zones);
            this.hosts.push(new SoakHost(`edge-${index}`, zone, proxy, address, this.#folder, this.disturbances));
        }
        await Promise.all(this.hosts.map(host => host.start()));
        await Promise.all(this.hosts.map(host => host.waitUntilReady()));
    }

    /** Ends all processes and servers at once. */
    async stop(): Promise<void> {
        await Promise.all(this.hosts.map(host => host.stop()));
        for (const upstream of this.upstreams) {
            await upstream.stopCurrent();
            upstream.proxy.stop();
        }
        await this.store.stop();
        rmSync(this.#folder, { recursive: true, force: true });
    }

    /** Kills the processes when the program ends early; nothing is waited for. */
    closeNow(): void {
        this.hosts.forEach(host => host.sendSignal("SIGKILL"));
    }

    /** Whether the store answers operators and upstreams. */
    isStoreAvailable(): boolean {
        return this.store.faultMode === StoreFaultMode.None;
    }

    /** Publishes a configuration with the next key and without the one before. */
    publishNextKey(): void {
        const { clogs } = createDocument().tenants as Record<string, object>;
        const soles = { api_keys: ["key-fixed", this.keys.getNext()] };
        const odd = this.#plan.profile === SoakProfile.Pressure ? this.keys.getOddAccounts() : {};
        const tenants = Object.fromEntries([
            ...Object.entries({ clogs, soles, anonymous: { api_keys: ["key-anonymous"] } }),
            ...Object.entries(odd),
        ]);
        this.#version += VERSION_STEP;
        this.store.write("op/config", createDocument({ version: this.#version, tenants }));
        this.keys.recordChange();
    }

    /**
     * Starts a new upstream and publishes it.
     * @param place - Where it starts.
     * @param service - Its service.
     */
    async startUpstream(place: SoakUpstream, service: string): Promise<void> {
        await place.start(`i-${service}-${this.#nextUpstream++}`, service);
        this.publishUpstream(place, "ready");
    }

    /**
     * Writes the registration of the upstream at a place.
     * @param place - The place.
     * @param state - Its state.
     */
    publishUpstream(place: SoakUpstream, state: "ready" | "draining"): void {
        const { service, address, zone, current } = place;
        const change = { service, addr: address, zone, slots: SLOTS, state, seq: 4 + place.history.length };
        this.store.write(`servers/${current!.id}`, createRegistration(change));
    }

    /** Writes all registrations again, as upstreams do every few seconds. */
    publishUpstreams(): void {
        const present = new Set(this.upstreams.map(({ current }) => `servers/${current?.id}`));
        this.store.getKeys("servers/").filter(key => !present.has(key)).forEach(key => this.store.remove(key));
        for (const place of this.upstreams) {
            if (place.current !== undefined) {
                this.publishUpstream(place, this.leavingTimes.has(place.current.id) ? "draining" : "ready");
            }
        }
    }

    /** Other hosts reach a host through its proxy. */
    #createValue(key: string, value: string): string {
        const host = this.hosts.find(({ id }) => key === `${HOST_PREFIX}${id}`);
        if (host === undefined) {
            return value;
        }
        const entry = JSON.parse(Buffer.from(value, "base64").toString()) as object;
        return Buffer.from(JSON.stringify({ ...entry, peerAddress: host.peerProxyAddress })).toString("base64");
    }
}

function getZone(index: number): string {
    return `zone-${"abcdefgh"[index]}`;
}
