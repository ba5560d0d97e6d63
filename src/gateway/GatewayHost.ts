import { Dispatcher, Quarantine } from "../accounts/index.js";
import type { Configuration } from "../configuration/index.js";
import { SuppliedConfiguration } from "../configuration/index.js";
import { Decision } from "../logging/index.js";
import { RegisteredMembership } from "../membership/index.js";
import { ObservedPeerTransport, PeerHandlers } from "../peers/index.js";
import { OwnedRateLimiter } from "../rates/index.js";
import { HostRegistrar } from "../registry/index.js";
import { Replica, ReplicaSynchronizer } from "../replica/index.js";
import { EjectionPolicy, ServiceHost } from "../services/index.js";
import { Supervisor } from "../supervision/index.js";
import type { Child } from "../supervision/index.js";
import { isRenewal, Supply } from "../supply/index.js";
import { isEarlierIncarnation } from "../utils/index.js";
import { Gateway } from "./Gateway.js";
import type { GatewayHostOptions } from "./GatewayHostOptions.js";
import { HostLookup } from "./HostLookup.js";
import { StoreRecovery } from "./StoreRecovery.js";

/** Upstream crashes by one request until it is quarantined: callers of the platform may send it to three upstreams. */
const QUARANTINE_CRASH_COUNT = 3;
/** Time after the deadline until a late response is abandoned, in milliseconds; upstreams know the deadline. */
const LATE_ANSWER_MS = 1_000;
/** How long after an unanswered call of a peer hosts may be cut off, in milliseconds: several intervals between the calls of a host. */
const PEER_FAILURE_MS = 5_000;
const EMPTY_CONFIGURATION = new SuppliedConfiguration({
    version: 0,
    accounts: [],
    accountsByKey: new Map(),
    routes: [],
    services: [],
    limits: { maxHeaderBytes: 0, maxBodyBytes: 0, headersTimeoutMs: 0, idleTimeoutMs: 0 },
});

/** The components of an entry host whose configuration, host list and upstreams come from the platform's store. */
export class GatewayHost implements Child {
    readonly name = "gateway-host";
    /** Handlers for calls from other entry hosts. */
    readonly handlers = new PeerHandlers();
    readonly gateway: Gateway;
    readonly lookup: HostLookup;
    readonly serviceHost: ServiceHost;
    readonly supply: Supply;
    readonly #options: GatewayHostOptions;
    readonly #transport: ObservedPeerTransport;
    readonly #dispatcher: Dispatcher;
    readonly #replica: Replica;
    readonly #replicator: ReplicaSynchronizer;
    readonly #membership: RegisteredMembership;
    readonly #registrar: HostRegistrar;
    readonly #storeRecovery: StoreRecovery;
    readonly #supervisor: Supervisor;
    #isLeaving = false;
    #isConfirmed = false;

    /** @param options - Identity and dependencies of the host. */
    constructor(options: GatewayHostOptions) {
        const { clock, decisions, decoder, registry, self } = options;
        this.#transport = new ObservedPeerTransport(options.transport, clock);
        this.#options = { ...options, transport: this.#transport };
        this.#replica = new Replica((key, previous, next) =>
            this.supply.hasEntry(key) && isRenewal(decoder.decode(key, previous), decoder.decode(key, next))
        );
        this.#membership = new RegisteredMembership(self, {
            isUnreachable: memberId => this.#replicator.isUnreachable(memberId),
            isIsolated: () => this.#replicator.isIsolated(),
        });
        this.#replicator = this.#createReplicator();
        this.supply = new Supply({
            clock,
            decisions,
            decoder,
            getStoreRegainedTime: () => this.#replicator.getStoreRegainedTime(),
            isOwnEntry: ({ id, incarnation }) => !this.#isLeaving && id === self.id && incarnation === self.incarnation,
            isEarlierEntry: ({ id, incarnation }) =>
                !this.#isLeaving && id === self.id && isEarlierIncarnation(incarnation, self.incarnation),
            onOwnEntryLost: () => this.#registrar.restore(),
        });
        this.#registrar = new HostRegistrar({ clock, decisions, registry, self });
        this.serviceHost = this.#createServiceHost();
        const quarantine = new Quarantine({ ...this.#getPeerOptions(), crashThreshold: QUARANTINE_CRASH_COUNT });
        this.#dispatcher = this.#createDispatcher(quarantine);
        this.gateway = this.#createGateway(quarantine);
        this.lookup = new HostLookup(this.#membership, options.lookupLifetimeMs);
        this.#storeRecovery = this.#createStoreRecovery();
        this.#replica.addEpochListener(epoch => {
            this.supply.recordHistoryLoss();
            this.#storeRecovery.start(epoch);
        });
        this.#replica.addListener(events => this.supply.apply(events));
        this.supply.addListener(() => this.#applySupply());
        this.#replicator.addConfirmationListener(() => this.#recordConfirmation());
        this.#supervisor = this.#createSupervisor();
    }

    /** Whether this host accepts callers' requests. */
    isReady(): boolean {
        return !this.#isLeaving && this.#findConfiguration() !== undefined && this.#membership.isCurrent();
    }

    /** Gets the current configuration; an empty one before the first is known to be current. */
    getConfiguration(): Configuration {
        return this.#findConfiguration() ?? EMPTY_CONFIGURATION;
    }

    /** Gets the time since the store copy was last known to be current, in milliseconds. */
    getCopyAge(): number {
        return this.#replicator.getAge();
    }

    /**
     * Finds the availability zone of another entry host; undefined if it is not registered.
     * @param peerAddress - Its address for peers.
     */
    findZone(peerAddress: string): string | undefined {
        return this.#membership.findZone(peerAddress);
    }

    /** Starts all components. */
    async start(): Promise<void> {
        await this.#supervisor.start();
        const { decisions, self } = this.#options;
        decisions.record({ decision: Decision.Started, reason: `incarnation ${self.incarnation}`, member: self.id });
    }

    /**
     * Removes this host from lookups and from the host registry; requests in progress continue.
     * @param endTime - When they are aborted, in milliseconds of the clock.
     */
    async leave(endTime: number): Promise<void> {
        const { decisions, self } = this.#options;
        this.#isLeaving = true;
        this.gateway.leave(endTime);
        this.#dispatcher.leave(endTime);
        this.serviceHost.leave(endTime);
        this.#membership.leave();
        this.lookup.leave();
        decisions.record({ decision: Decision.Drained, reason: "planned stop", member: self.id });
        await this.#registrar.leave();
    }

    /** Waits until neither a caller's request nor one forwarded by another host is in progress. */
    async waitForIdle(): Promise<void> {
        await Promise.all([this.gateway.waitForIdle(), this.serviceHost.drain()]);
    }

    /** Stops all components at once. */
    async stop(): Promise<void> {
        this.gateway.stop();
        this.#storeRecovery.stop();
        await this.#supervisor.stop();
        const { decisions, self } = this.#options;
        decisions.record({ decision: Decision.Stopped, reason: "stopped", member: self.id });
    }

    #createReplicator(): ReplicaSynchronizer {
        const { clock, decisions, random, source, transport, self } = this.#options;
        return new ReplicaSynchronizer({
            clock,
            decisions,
            replica: this.#replica,
            store: source,
            transport,
            handlers: this.handlers,
            random,
            self,
            getHostRankings: () => this.#membership.getWatchRankings(),
        });
    }

    #createStoreRecovery(): StoreRecovery {
        const { clock, random, decisions, self, restorer } = this.#options;
        return new StoreRecovery({
            clock,
            random,
            decisions,
            self,
            restorer,
            isWatching: () => this.#replicator.isWatching(),
            findLostDocument: () => this.supply.findLostDocument(),
            onEntryLost: () => {
                if (!this.#isLeaving) {
                    this.#registrar.restore();
                }
            },
        });
    }

    #createServiceHost(): ServiceHost {
        const { clock, random, upstreamTransport, transport, decisions, stallMeter } = this.#options;
        return new ServiceHost({
            clock,
            random,
            transport: upstreamTransport,
            handlers: this.handlers,
            peers: transport,
            membership: this.#membership,
            decisions,
            policy: EjectionPolicy.Prompt,
            lateAnswerMs: LATE_ANSWER_MS,
            endsByDeadline: true,
            ...(stallMeter === undefined ? {} : { stallMeter }),
        });
    }

    #createDispatcher(quarantine: Quarantine): Dispatcher {
        const { random, forwarder } = this.#options;
        const options = {
            ...this.#getPeerOptions(),
            random,
            forwarder,
            serviceRunner: this.serviceHost,
            notices: this.serviceHost.notices,
            waitsUntilDeadline: true,
            isLocalFallbackEnabled: true,
        };
        return new Dispatcher(options, quarantine);
    }

    #createGateway(quarantine: Quarantine): Gateway {
        const { clock, random, decisions } = this.#options;
        const limiter = new OwnedRateLimiter({
            ...this.#getPeerOptions(),
            getConfiguration: () => this.getConfiguration(),
            hasPeerFailure: () => this.#transport.hasFailedWithin(PEER_FAILURE_MS),
            isQuarantined: fingerprint => quarantine.isQuarantined(fingerprint),
        });
        return new Gateway({
            clock,
            random,
            decisions,
            limiter,
            dispatcher: this.#dispatcher,
            notRunStatuses: this.#options.notRunStatuses,
            getConfiguration: () => this.#findConfiguration(),
            getCopyAge: () => this.getCopyAge(),
            checkCopyAge: maxAgeMs => this.#replicator.checkAge(maxAgeMs),
        });
    }

    #getPeerOptions() {
        const { clock, decisions, transport } = this.#options;
        return { clock, membership: this.#membership, transport, handlers: this.handlers, decisionLog: decisions };
    }

    #createSupervisor(): Supervisor {
        const { serviceHost } = this;
        return new Supervisor("roles", [
            { name: "service-host", start: async () => serviceHost.start(), stop: async () => serviceHost.stop() },
            this.#registrar,
            this.#replicator,
        ]);
    }

    /** Finds the configuration; undefined until the copy of the store was once known to be current. */
    #findConfiguration(): SuppliedConfiguration | undefined {
        return this.#isConfirmed ? this.supply.getConfiguration() : undefined;
    }

    #recordConfirmation(): void {
        if (!this.#isConfirmed) {
            this.#isConfirmed = true;
            this.#applySupply();
        }
    }

    #applySupply(): void {
        this.#membership.applyMembers(this.supply.getHosts());
        const configuration = this.#findConfiguration();
        if (configuration !== undefined) {
            this.serviceHost.apply(configuration);
        }
    }
}
