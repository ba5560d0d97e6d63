import type Logger from "bunyan";
import { CallerListener } from "../callers/index.js";
import { AuditTrail } from "../configuration/index.js";
import { HttpPeerForwarder, PeerListener } from "../forwarding/index.js";
import { HttpHostList } from "../hostlist/index.js";
import { Decision, DecisionHistory } from "../logging/index.js";
import type { TimedDecision } from "../logging/index.js";
import { RequestMetrics } from "../metrics/index.js";
import { OperatorApi } from "../operators/index.js";
import { HttpPeerTransport, PeerConnections } from "../peers/index.js";
import { SystemRandom } from "../random/index.js";
import { HttpUpstreamTransport } from "../services/index.js";
import type { EntrySettings } from "../settings/index.js";
import { HttpStore } from "../store/index.js";
import { Supervisor } from "../supervision/index.js";
import { SystemClock, TimerStallMeter } from "../time/index.js";
import { createIncarnation, RouteListener } from "../utils/index.js";
import { EntryHost } from "./EntryHost.js";

const PLATFORM_TIMEOUT_MS = 1000;
const MAX_PEER_CONNECTIONS = 64;
const PEER_CONNECT_TIMEOUT_MS = 1000;

/** The process of an entry host: its roles, listeners and connections. */
export class EntryProcess {
    readonly #settings: EntrySettings;
    readonly #clock = new SystemClock();
    readonly #stallMeter = new TimerStallMeter(this.#clock);
    readonly #metrics = new RequestMetrics();
    readonly #decisions: DecisionHistory;
    readonly #store: HttpStore;
    readonly #connections = new PeerConnections({
        maxConnections: MAX_PEER_CONNECTIONS,
        connectTimeoutMs: PEER_CONNECT_TIMEOUT_MS,
    });
    readonly #upstreamTransport: HttpUpstreamTransport;
    readonly #host: EntryHost;
    readonly #callerListener: CallerListener;
    readonly #peerListener: PeerListener;
    readonly #supervisor: Supervisor;

    /**
     * @param settings - The host's settings.
     * @param logger - The logger to which each decision is written.
     */
    constructor(settings: EntrySettings, logger: Logger) {
        this.#settings = settings;
        this.#decisions = new DecisionHistory(
            this.#clock,
            decision => logger[getLevel(decision)](decision, decision.reason),
        );
        this.#store = new HttpStore({ url: `http://${settings.storeAddress}`, timeoutMs: PLATFORM_TIMEOUT_MS });
        this.#upstreamTransport = new HttpUpstreamTransport(this.#clock);
        this.#host = this.#createHost();
        this.#callerListener = this.#createCallerListener();
        this.#peerListener = this.#createPeerListener();
        this.#supervisor = this.#createSupervisor();
    }

    /** Starts the host and its listeners; rejects if an address is not available. */
    async start(): Promise<void> {
        await this.#supervisor.start();
    }

    /** Stops gracefully: leaves the fleet, waits for requests in progress, then closes everything. */
    async stop(): Promise<void> {
        await this.#host.drain();
        await this.#waitForPeers();
        await this.#supervisor.stop();
        await this.#connections.close();
        this.#upstreamTransport.close();
        await this.#store.close();
    }

    /** Waits until the answers to other hosts are sent, as long as for requests in progress. */
    async #waitForPeers(): Promise<void> {
        const timeout = new AbortController();
        const timeoutPassed = this.#clock.wait(this.#settings.stopTimeoutMs, timeout.signal).catch(() => {});
        await Promise.race([this.#peerListener.waitForIdle(), timeoutPassed]);
        timeout.abort();
    }

    #createHost(): EntryHost {
        const { peerSecret: secret, hostListAddress } = this.#settings;
        const peerOptions = { connections: this.#connections, clock: this.#clock, secret };
        return new EntryHost({
            settings: this.#settings,
            incarnation: createIncarnation(this.#clock),
            clock: this.#clock,
            random: new SystemRandom(),
            store: this.#store,
            hostList: new HttpHostList({ url: `http://${hostListAddress}`, timeoutMs: PLATFORM_TIMEOUT_MS }),
            transport: new HttpPeerTransport(peerOptions),
            forwarder: new HttpPeerForwarder(peerOptions),
            upstreamTransport: this.#upstreamTransport,
            decisions: this.#decisions,
            stallMeter: this.#stallMeter,
        });
    }

    #createCallerListener(): CallerListener {
        return new CallerListener({
            requestHandler: this.#host.requestHandler,
            lookup: this.#host.lookup,
            findOrder: (account, key) => this.#host.accountHost.findOutcome(account, key),
            recordDuration: (outcome, durationMs) => this.#metrics.record(outcome, durationMs),
            clock: this.#clock,
        });
    }

    #createPeerListener(): PeerListener {
        return new PeerListener({
            handlers: this.#host.handlers,
            accountRunner: this.#host.accountHost,
            serviceRunner: this.#host.serviceHost,
            getConfiguration: () => this.#host.getConfiguration(),
            secret: this.#settings.peerSecret,
        });
    }

    #createOperatorListener(): RouteListener {
        const api = new OperatorApi({
            operators: this.#settings.operators,
            changeService: this.#host.changes,
            auditTrail: new AuditTrail(this.#store),
            loader: this.#host.loader,
            decisions: this.#decisions,
            getStatus: () => ({ ...this.#host.getStatus(), requests: this.#metrics.getReport() }),
        });
        return new RouteListener(app => api.addRoutes(app));
    }

    #createSupervisor(): Supervisor {
        const { callerAddress, peerAddress, operatorAddress } = this.#settings;
        const peers = this.#peerListener;
        const operators = this.#createOperatorListener();
        const callers = this.#callerListener;
        const stallMeter = this.#stallMeter;
        return new Supervisor("entry", [
            { name: "stall-meter", start: async () => stallMeter.start(), stop: async () => stallMeter.stop() },
            { name: "peers", start: () => peers.start(peerAddress), stop: () => peers.stop() },
            this.#host,
            { name: "operators", start: () => operators.start(operatorAddress), stop: () => operators.stop() },
            { name: "callers", start: async () => void await callers.start(callerAddress), stop: () => callers.stop() },
        ]);
    }
}

/** Gets the log level of a decision; answers are too frequent for the default level. */
function getLevel(decision: TimedDecision): "debug" | "info" {
    return decision.decision === Decision.Answered ? "debug" : "info";
}
