import { HttpPeerForwarder, PeerListener } from "../forwarding/index.js";
import { DecisionHistory } from "../logging/index.js";
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
/** Pauses of the process that matter beside the latencies of upstreams, some hundred milliseconds. */
const STALL_TICK_MS = 250;
const MS_PER_SECOND = 1_000;
/** Decisions that are kept in memory; the log holds them all. */
const MAX_KEPT_DECISIONS = 200;
/** Share of the grace period after which new requests are refused, so that those taken in before can end. */
const INTAKE_GRACE_SHARE = 0.35;
/** Share of the grace period after which what still runs is cut. */
const DRAIN_GRACE_SHARE = 0.96;

/** An entry host of the platform as a process: its roles, its listeners and its connections. */
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
    readonly #traffic = new PeerTraffic();
    readonly #upstreamTransport: HttpUpstreamTransport;
    readonly #host: GatewayHost;
    readonly #callers: GatewayListener;
    readonly #supervisor: Supervisor;

    /** @param options - Settings and what connects the process with the platform. */
    constructor(options: GatewayProcessOptions) {
        this.#options = options;
        this.#metrics = new GatewayMetrics(options.getDroppedLogLines, () => this.#host.getCopyAge());
        this.#decisions = new DecisionHistory(this.#clock, decision => {
            this.#metrics.recordDecision(decision);
            options.logger.info(decision, decision.reason);
        }, MAX_KEPT_DECISIONS);
        this.#upstreamTransport = new HttpUpstreamTransport(this.#clock, options.upstreamProtocol);
        this.#host = this.#createHost();
        this.#callers = new GatewayListener({
            clock: this.#clock,
            gateway: this.#host.gateway,
            protocol: options.callerProtocol,
            recordDuration: (outcome, durationMs) => this.#metrics.recordDuration(outcome, durationMs),
        });
        this.#host.supply.addListener(() => this.#applyLimits());
        this.#supervisor = this.#createSupervisor();
    }

    /** Starts the host and its listeners; rejects if an address can't be had. */
    async start(): Promise<void> {
        await this.#supervisor.start();
    }

    /** Stops gracefully within the grace period: no request that was taken in is cut before its end. */
    async stop(): Promise<void> {
        const graceMs = this.#options.settings.graceSeconds * MS_PER_SECOND;
        const end = this.#clock.wait(graceMs * DRAIN_GRACE_SHARE);
        this.#callers.drain();
        const left = this.#host.leave();
        await this.#clock.wait(graceMs * INTAKE_GRACE_SHARE);
        this.#host.gateway.stop();
        await Promise.race([Promise.all([left, this.#host.waitForIdle()]), end]);
        await Promise.race([this.#supervisor.stop(), end]);
        await this.#connections.close();
        this.#upstreamTransport.close();
    }

    #createHost(): GatewayHost {
        const { settings, peerSecret: secret, source, registry, decoder } = this.#options;
        const { id, region, zone, peerAddress, callerAddress, cpuShare, cores, linkMbps } = settings;
        // A service host needs both for each request, so one that lacks either can't make it up with the other.
        const capacity = cpuShare * cores * linkMbps;
        const peerOptions = { connections: this.#connections, clock: this.#clock, secret };
        const incarnation = createIncarnation(this.#clock);
        return new GatewayHost({
            self: { id, region, zone, peerAddress, callerAddress, incarnation, capacity },
            clock: this.#clock,
            random: new SystemRandom(),
            decisions: this.#decisions,
            transport: new HttpPeerTransport({ ...peerOptions, traffic: this.#traffic }),
            forwarder: new HttpPeerForwarder(peerOptions),
            upstreamTransport: this.#upstreamTransport,
            source,
            registry,
            decoder,
            stallMeter: this.#stallMeter,
            lookupLifetimeMs: settings.lookupSeconds * MS_PER_SECOND,
        });
    }

    #createSupervisor(): Supervisor {
        const { settings, peerSecret: secret, addLookupRoutes, addReadyRoute } = this.#options;
        const host = this.#host;
        const stallMeter = this.#stallMeter;
        const callers = this.#callers;
        const getConfiguration = () => host.getConfiguration();
        const peers = new PeerListener({
            handlers: host.handlers,
            serviceRunner: host.serviceHost,
            getConfiguration,
            secret,
            traffic: this.#traffic,
        });
        const lookups = new RouteListener(app => addLookupRoutes(app, host));
        const ready = new RouteListener(app => addReadyRoute(app, host));
        const metrics = new RouteListener(app => this.#metrics.addRoute(app));
        return new Supervisor("gateway", [
            { name: "stall-meter", start: async () => stallMeter.start(), stop: async () => stallMeter.stop() },
            { name: "peers", start: () => peers.start(settings.peerAddress), stop: () => peers.stop() },
            { name: "metrics", start: () => metrics.start(settings.metricsAddress), stop: () => metrics.stop() },
            host,
            this.#createReporter(),
            this.#createPoolReporter(),
            { name: "ready", start: () => ready.start(settings.readyAddress), stop: () => ready.stop() },
            {
                name: "callers",
                start: async () => void await callers.start(settings.callerAddress),
                stop: () => callers.stop(),
            },
            { name: "lookups", start: () => lookups.start(settings.lookupAddress), stop: () => lookups.stop() },
        ]);
    }

    #createReporter(): LoadReporter {
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
            this.#callers.applyLimits(configuration.getLimits());
        }
    }
}
