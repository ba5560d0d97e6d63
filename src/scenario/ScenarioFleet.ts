import { EntryHost } from "../entry/index.js";
import { FakeClock, FakeHostClock, FakeHostStore, FakeNetwork, FakeStore, FakeUpstreams } from "../fakes/index.js";
import type { ListedHost } from "../hostlist/index.js";
import { DecisionHistory } from "../logging/index.js";
import { SeededRandom } from "../random/index.js";
import { UpstreamAnswerKind, type UpstreamTransport } from "../services/index.js";
import { type EntrySettings, Policy } from "../settings/index.js";
import { formatIncarnation } from "../utils/index.js";
import type { ScenarioHost } from "./ScenarioHost.js";

const ZONES = ["zone-a", "zone-b", "zone-c"];
const PEER_PORT = 10_000;
const CALLER_PORT = 11_000;
const OPERATOR_PORT = 12_000;
const SEED_PEERS = 3;
const SERVICE_TIME_MS = 25;
const SEED_STEP = 7_919;
const LOOKUP_LIFETIME_MS = 5_000;
const LIST_LAG_MS = 5_000;
const STOP_TIMEOUT_MS = 20_000;

/** The entry hosts of a scenario in one process, with a store, a network and upstreams in memory. */
export class ScenarioFleet {
    readonly clock = new FakeClock();
    readonly store = new FakeStore(this.clock);
    readonly network = new FakeNetwork(this.clock);
    readonly upstreams: FakeUpstreams;
    /** The availability zones. */
    readonly zones: readonly string[] = ZONES;
    readonly #seed: number;
    readonly #hosts = new Map<number, ScenarioHost>();
    readonly #listed = new Map<string, ListedHost>();
    #starts = 0;

    /** @param seed - Seed of all random numbers. */
    constructor(seed: number) {
        this.#seed = seed;
        const random = new SeededRandom(seed);
        this.upstreams = new FakeUpstreams({ clock: this.clock, random, serviceTimeMs: SERVICE_TIME_MS });
    }

    /** Gets the running hosts. */
    getHosts(): readonly ScenarioHost[] {
        return [...this.#hosts.values()];
    }

    /**
     * Finds a running host.
     * @param index - Its number.
     */
    find(index: number): ScenarioHost | undefined {
        return this.#hosts.get(index);
    }

    /**
     * Finds a running host by the address that callers use.
     * @param url - The address as lookups name it.
     */
    findByUrl(url: string): ScenarioHost | undefined {
        return this.getHosts().find(host => url === `http://127.0.0.1:${CALLER_PORT + host.index}`);
    }

    /**
     * Starts a host, unless one runs at its address.
     * @param index - Its number, which stands for its address.
     */
    async start(index: number): Promise<void> {
        if (this.#hosts.has(index)) {
            return;
        }
        const created = this.#createHost(index);
        const { host, address } = created;
        this.#hosts.set(index, created);
        this.network.startAnswers(address);
        this.network.addHost(address, {
            handlers: host.handlers,
            serviceRunner: host.serviceHost,
            accountRunner: host.accountHost,
        });
        this.#listed.set(address, { address, leaving: false });
        await host.start();
    }

    /**
     * Kills a host as a crash does.
     * @param index - Its number.
     */
    stop(index: number): void {
        const stopped = this.#hosts.get(index);
        if (stopped === undefined) {
            return;
        }
        this.network.removeHost(stopped.address);
        stopped.clock.stop();
        stopped.store.isCut = true;
        stopped.life.abort();
        this.#hosts.delete(index);
        this.clock.schedule(LIST_LAG_MS, () => {
            if (!this.#hosts.has(index)) {
                this.#listed.delete(stopped.address);
            }
        });
    }

    /**
     * Stops a host as planned.
     * @param index - Its number.
     */
    async drain(index: number): Promise<void> {
        const stopping = this.#hosts.get(index);
        if (stopping === undefined) {
            return;
        }
        await stopping.host.drain();
        await stopping.host.stop();
        if (this.#hosts.get(index) === stopping) {
            this.stop(index);
        }
    }

    /**
     * Pauses a host's process, or lets it go on; does nothing to a host that does not run.
     * @param index - Its number.
     * @param isFrozen - Whether it is paused.
     */
    applyFreeze(index: number, isFrozen: boolean): void {
        const host = this.#hosts.get(index);
        if (host === undefined || host.isFrozen === isFrozen) {
            return;
        }
        host.isFrozen = isFrozen;
        host.store.isCut = isFrozen;
        if (isFrozen) {
            host.clock.stop();
            this.network.stopAnswers(host.address);
            return;
        }
        this.network.startAnswers(host.address);
        host.clock.start();
    }

    /**
     * Cuts or opens directions between hosts.
     * @param from - Numbers of the senders.
     * @param to - Numbers of the receivers.
     * @param isOpen - Whether messages arrive.
     */
    route(from: readonly number[], to: readonly number[], isOpen: boolean): void {
        for (const [sender, receiver] of from.flatMap(one => to.map(other => [one, other] as const))) {
            const addresses = [getAddress(PEER_PORT, sender), getAddress(PEER_PORT, receiver)] as const;
            if (isOpen) {
                this.network.openDirection(...addresses);
            }
            else if (sender !== receiver) {
                this.network.closeDirection(...addresses);
            }
        }
    }

    #createHost(index: number): ScenarioHost {
        const clock = new FakeHostClock(this.clock);
        const store = new FakeHostStore(this.store, this.clock);
        const address = getAddress(PEER_PORT, index);
        const life = new AbortController();
        const death = new Promise<void>(resolve => life.signal.addEventListener("abort", () => resolve()));
        const decisions = new DecisionHistory(this.clock);
        const start = this.#starts++;
        const host = new EntryHost({
            settings: createSettings(index),
            incarnation: formatIncarnation(clock.getWallTime(), `${start}`.padStart(8, "0")),
            clock,
            random: new SeededRandom(this.#seed * SEED_STEP + start),
            store,
            hostList: { getHosts: async () => [...this.#listed.values()] },
            transport: this.network.createTransport(address),
            forwarder: this.network.createForwarder(address),
            upstreamTransport: this.#createUpstreamTransport(life.signal),
            decisions,
        });
        return { index, address, host, clock, store, decisions, life, death, isFrozen: false };
    }

    /** A killed host opens no connection any more. */
    #createUpstreamTransport(signal: AbortSignal): UpstreamTransport {
        return {
            send: async (upstream, request, options) =>
                signal.aborted
                    ? { kind: UpstreamAnswerKind.ConnectFailed, detail: "The host has stopped." }
                    : await this.upstreams.send(upstream, request, options),
            closeIdle: upstream => this.upstreams.closeIdle(upstream),
        };
    }
}

function getAddress(port: number, index: number): string {
    return `127.0.0.1:${port + index}`;
}

function createSettings(index: number): EntrySettings {
    return {
        id: `host-${index}`,
        region: "region-1",
        zone: ZONES[index % ZONES.length]!,
        callerAddress: getAddress(CALLER_PORT, index),
        peerAddress: getAddress(PEER_PORT, index),
        operatorAddress: getAddress(OPERATOR_PORT, index),
        storeAddress: getAddress(1, 0),
        hostListAddress: getAddress(2, 0),
        seedPeers: Array.from({ length: SEED_PEERS }, (_, seed) => getAddress(PEER_PORT, seed)),
        peerSecret: "scenario",
        operators: [],
        policy: Policy.Standard,
        lookupLifetimeMs: LOOKUP_LIFETIME_MS,
        hostListLagMs: LIST_LAG_MS,
        stopTimeoutMs: STOP_TIMEOUT_MS,
        logLevel: "fatal",
    };
}
