import { HttpPeerForwarder, PeerListener } from "../forwarding/index.js";
import { DecisionHistory } from "../logging/index.js";
import { ProcessMemory } from "../memory/index.js";
import { GatewayMetrics } from "../metrics/index.js";
import { HttpPeerTransport, PeerConnections, PeerTraffic } from "../peers/index.js";
import { SystemRandom } from "../random/index.js";
import { HttpUpstreamTransport } from "../services/index.js";
import { Supervisor } from "../supervision/index.js";
import { SystemClock, TimerStallMeter } from "../time/index.js";
import { createIncarnation, RouteListener } from "../utils/index.js";
import { GatewayHost } from "./GatewayHost.js";
import { GatewayListener } from "./GatewayListener.js";
import type { GatewayProcessOptions } from "./GatewayProcessOptions.js";
import { LoadReporter } from "./LoadReporter.js";
import { PoolReporter } from "./PoolReporter.js";

const MAX_PEER_CONNECTIONS = 64;
const PEER_CONNECT_TIMEOUT_MS = 500;
/** Event loop stalls shorter than this hardly matter beside upstream latencies of some hundred milliseconds. */
const STALL_TICK_MS = 250;
const MS_PER_SECOND = 1_000;
const BYTES_PER_MEGABYTE = 1_000_000;
/** Number of decisions kept in memory; the log has all of them. */
const MAX_KEPT_DECISIONS = 200;
/** Share of the grace period in which new requests are still accepted; the rest is for those that have been read. */
const INTAKE_GRACE_SHARE = 0.35;
/** Share of the grace period after which requests in progress are given up. */
const DRAIN_GRACE_SHARE = 0.96;
/** Share of the grace period for the answers to what was given up, after which connections are closed. */
const ANSWER_GRACE_SHARE = 0.02;

/** Descriptors that are kept for files, of those that a process may have. */
const FILE_DESCRIPTORS = 200;
/** Share of the other descriptors for callers' connections; each request may need one more to an upstream or a peer. */
const CALLER_DESCRIPTOR_SHARE = 0.5;
/** Fewest connections of callers, so that a host with few descriptors still serves. */
const MIN_CALLER_CONNECTIONS = 16;
/** Time for the next bytes of a body before a configuration is known, in milliseconds. */
const DEFAULT_IDLE_TIMEOUT_MS = 10_000;

/** The process of an entry host: its components, listeners and connections. */
export class GatewayProcess {
    readonly #options: GatewayProcessOptions;
    readonly #clock = new SystemClock();
    readonly #stallMeter = new TimerStallMeter(this.#clock, STALL_TICK_MS);
    readonly #metrics: GatewayMetrics;
    readonly #decisions: DecisionHistory;
    readonly #connections = new PeerConnections({
        maxConnections: MAX_PEER_CONNECTIONS,
        connectTimeoutMs: PEER_CONNECT_TIMEOUT_MS,
    });
    readonly #traffic: PeerTraffic;
    readonly #memory: ProcessMemory;
    readonly #upstreamTransport: HttpUpstreamTransport;
    readonly #host: GatewayHost;
    readonly #callerListener: GatewayListener;
    readonly #peerListener: PeerListener;
    readonly #supervisor: Supervisor;

    /** @param options - Settings and platform adapters. */
    constructor(options: GatewayProcessOptions) {
        this.#options = options;
        this.#metrics = new GatewayMetrics(
            options.getDroppedLogLines,
            () => this.#host.getCopyAge(),
            () => this.#memory.budget.getFigures(),
            () => this.#host.supply.getFindingCount(),
        );
        this.#traffic = new PeerTraffic({
            ownZone: options.settings.zone,
            findZone: address => this.#host.findZone(address),
            onSent: count => this.#metrics.recordPeerBytes(count),
        });
        this.#decisions = new DecisionHistory(this.#clock, decision => {
            this.#metrics.recordDecision(decision);
            options.logger.info(decision, decision.reason);
        }, MAX_KEPT_DECISIONS);
        this.#memory = new ProcessMemory({
            clock: this.#clock,
            decisions: this.#decisions,
            memoryBytes: options.settings.memoryMegabytes * BYTES_PER_MEGABYTE,
            getIdleTimeout: () =>
                this.#host.supply.getConfiguration()?.getLimits().idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS,
            collect: options.collectGarbage,
        });
        this.#upstreamTransport = new HttpUpstreamTransport(this.#clock, options.upstreamProtocol);
        this.#host = this.#createHost();
        this.#callerListener = new GatewayListener({
            clock: this.#clock,
            gateway: this.#host.gateway,
            protocol: options.callerProtocol,
            memory: this.#memory,
            maxConnections: getMaxCallerConnections(options.settings.maxDescriptors),
            recordDuration: (outcome, durationMs) => this.#metrics.recordDuration(outcome, durationMs),
        });
        this.#host.supply.addListener(() => this.#applyLimits());
        this.#peerListener = this.#createPeerListener();
        this.#supervisor = this.#createSupervisor();
    }

    /** Starts the host and its listeners; rejects if an address can't be bound. */
    async start(): Promise<void> {
        await this.#supervisor.start();
    }

    /** Stops gracefully: accepted requests may finish until the grace period ends. */
    async stop(): Promise<void> {
        const graceMs = this.#options.settings.graceSeconds * MS_PER_SECOND;
        const drainTimeout = this.#clock.wait(graceMs * DRAIN_GRACE_SHARE);
        const answerTimeout = drainTimeout.then(() => this.#clock.wait(graceMs * ANSWER_GRACE_SHARE));
        this.#callerListener.drain();
        const leaveDone = this.#host.leave(this.#clock.getTime() + graceMs * DRAIN_GRACE_SHARE);
        await this.#clock.wait(graceMs * INTAKE_GRACE_SHARE);
        this.#host.gateway.stop();
        // Service hosts take work until the requests that callers have sent ahead have been answered.
        const callersIdle = this.#callerListener.waitForIdle().then(() => this.#host.waitForIdle());
        const idle = Promise.all([leaveDone, callersIdle]).then(() => this.#peerListener.waitForIdle());
        await Promise.race([idle, drainTimeout]);
        await Promise.race([this.#supervisor.stop(), answerTimeout]);
        await this.#connections.close();
        this.#upstreamTransport.close();
    }

    #createHost(): GatewayHost {
        const { settings, peerSecret: secret, source, registry, restorer, decoder } = this.#options;
        const { id, region, zone, peerAddress, callerAddress, cpuShare, cores, linkMbps } = settings;
        // Each request needs both CPU and network, so the product: neither can compensate for a lack of the other.
        const capacity = cpuShare * cores * linkMbps;
        const peerOptions = {
            connections: this.#connections,
            clock: this.#clock,
            secret,
            zone,
            traffic: this.#traffic,
        };
        const incarnation = createIncarnation(this.#clock);
        return new GatewayHost({
            self: { id, region, zone, peerAddress, callerAddress, incarnation, capacity },
            clock: this.#clock,
            random: new SystemRandom(),
            decisions: this.#decisions,
            transport: new HttpPeerTransport(peerOptions),
            forwarder: new HttpPeerForwarder(peerOptions),
            upstreamTransport: this.#upstreamTransport,
            source,
            registry,
            restorer,
            decoder,
            stallMeter: this.#stallMeter,
            notRunStatuses: this.#options.callerProtocol.notRunStatuses,
            lookupLifetimeMs: settings.lookupSeconds * MS_PER_SECOND,
        });
    }

    #createPeerListener(): PeerListener {
        return new PeerListener({
            handlers: this.#host.handlers,
            serviceRunner: this.#host.serviceHost,
            getConfiguration: () => this.#host.getConfiguration(),
            secret: this.#options.peerSecret,
            memory: this.#memory,
            traffic: this.#traffic,
        });
    }

    #createSupervisor(): Supervisor {
        const { settings, addLookupRoutes, addReadyRoute } = this.#options;
        const host = this.#host;
        const stallMeter = this.#stallMeter;
        const callerListener = this.#callerListener;
        const peerListener = this.#peerListener;
        const lookupListener = new RouteListener(app => addLookupRoutes(app, host));
        const readyListener = new RouteListener(app => addReadyRoute(app, host));
        const metricsListener = new RouteListener(app => this.#metrics.addRoute(app));
        return new Supervisor("gateway", [
            { name: "stall-meter", start: async () => stallMeter.start(), stop: async () => stallMeter.stop() },
            { name: "peers", start: () => peerListener.start(settings.peerAddress), stop: () => peerListener.stop() },
            {
                name: "metrics",
                start: () => metricsListener.start(settings.metricsAddress),
                stop: () => metricsListener.stop(),
            },
            host,
            this.#createLoadReporter(),
            this.#createPoolReporter(),
            {
                name: "ready",
                start: () => readyListener.start(settings.readyAddress),
                stop: () => readyListener.stop(),
            },
            {
                name: "callers",
                start: async () => void await callerListener.start(settings.callerAddress),
                stop: () => callerListener.stop(),
            },
            {
                name: "lookups",
                start: () => lookupListener.start(settings.lookupAddress),
                stop: () => lookupListener.stop(),
            },
        ]);
    }

    #createLoadReporter(): LoadReporter {
        return new LoadReporter({
            clock: this.#clock,
            decisions: this.#decisions,
            memberId: this.#options.settings.id,
            traffic: this.#traffic,
            getCopyAge: () => this.#host.getCopyAge(),
            getStalledTime: () => this.#stallMeter.getStalledTime(),
        });
    }

    #createPoolReporter(): PoolReporter {
        return new PoolReporter({
            clock: this.#clock,
            decisions: this.#decisions,
            memberId: this.#options.settings.id,
            getLoads: () => this.#host.serviceHost.getLoads(),
        });
    }

    #applyLimits(): void {
        const configuration = this.#host.supply.getConfiguration();
        if (configuration !== undefined) {
            this.#callerListener.applyLimits(configuration.getLimits());
        }
    }
}

function getMaxCallerConnections(maxDescriptors: number): number {
    const share = Math.floor((maxDescriptors - FILE_DESCRIPTORS) * CALLER_DESCRIPTOR_SHARE);
    return Math.max(MIN_CALLER_CONNECTIONS, share);
}
