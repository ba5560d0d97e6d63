import { AccountHost, AccountRouter } from "../accounts/index.js";
import { ActiveRequests, AddressLookup, CallerRequestHandler } from "../callers/index.js";
import { ChangeService, ConfigurationLoader } from "../configuration/index.js";
import type { Configuration } from "../configuration/index.js";
import { StoredHeadStore } from "../head/index.js";
import type { Member } from "../head/index.js";
import { Decision } from "../logging/index.js";
import { MembershipService } from "../membership/index.js";
import { PeerHandlers } from "../peers/index.js";
import { RatePolicy } from "../rates/index.js";
import { EjectionPolicy, ServiceHost } from "../services/index.js";
import { Policy } from "../settings/index.js";
import type { EntrySettings } from "../settings/index.js";
import { Supervisor } from "../supervision/index.js";
import type { Child } from "../supervision/index.js";
import type { EntryHostOptions } from "./EntryHostOptions.js";
import { HostLifecycle } from "./HostLifecycle.js";
import type { HostStatus } from "./HostStatus.js";

const MAX_CHUNK_PEERS = 3;

/** All roles of an entry host (account host, service host, membership), without its listeners. */
export class EntryHost implements Child {
    readonly name = "entry-host";
    /** Handles RPCs from other entry hosts. */
    readonly handlers = new PeerHandlers();
    readonly activeRequests = new ActiveRequests();
    readonly membership: MembershipService;
    readonly loader: ConfigurationLoader;
    readonly changes: ChangeService;
    readonly serviceHost: ServiceHost;
    readonly accountHost: AccountHost;
    readonly requestHandler: CallerRequestHandler;
    readonly lookup: AddressLookup;
    readonly #options: EntryHostOptions;
    readonly #router: AccountRouter;
    readonly #lifecycle = new HostLifecycle();
    readonly #supervisor: Supervisor;

    /** @param options - The dependencies and settings of the entry host. */
    constructor(options: EntryHostOptions) {
        this.#options = options;
        const headStore = new StoredHeadStore(options);
        this.loader = this.#createLoader();
        this.membership = this.#createMembership(headStore);
        this.changes = this.#createChanges(headStore);
        this.serviceHost = this.#createServiceHost();
        this.accountHost = this.#createAccountHost();
        this.#router = new AccountRouter({
            clock: options.clock,
            decisionLog: options.decisions,
            local: this.accountHost,
            membership: this.membership,
            forwarder: options.forwarder,
        });
        this.requestHandler = this.#createRequestHandler();
        this.lookup = new AddressLookup({
            membership: this.membership,
            clock: options.clock,
            lifetimeMs: options.settings.lookupLifetimeMs,
        });
        this.loader.addListener(configuration => this.#applyConfiguration(configuration));
        this.#supervisor = this.#createSupervisor();
    }

    /** Gets the current configuration. */
    getConfiguration(): Configuration {
        return this.loader.getConfiguration();
    }

    /** Gets this host's status for operators. */
    getStatus(): HostStatus {
        const self = this.membership.getSelf();
        const view = this.membership.getView();
        return {
            state: this.#lifecycle.getState(),
            self,
            isCurrent: this.membership.isCurrent(),
            version: this.loader.getConfiguration().version,
            viewVersion: view.version,
            members: view.members.map(member => ({
                ...member,
                isReachable: member.id === self.id || this.membership.isReachable(member.id),
            })),
            activeRequests: this.activeRequests.getCount(),
            upstreams: this.serviceHost.getStatus(),
        };
    }

    /** Starts all roles. */
    async start(): Promise<void> {
        await this.#supervisor.start();
        this.#lifecycle.send("serve");
        this.#record(Decision.Started, `incarnation ${this.#options.incarnation}`);
    }

    /**
     * Leaves the fleet without interrupting a request: hands its duties over to other hosts, forwards requests from
     * callers with a cached address lookup until the lookup has expired, and waits for requests in progress.
     */
    async drain(): Promise<void> {
        const { clock, settings } = this.#options;
        this.#lifecycle.send("stop");
        this.#record(Decision.Drained, "planned stop");
        this.#router.drain();
        const lookupsExpired = clock.wait(settings.lookupLifetimeMs);
        await this.membership.leave(settings.stopTimeoutMs);
        await lookupsExpired;
        this.requestHandler.stop();
        const timeout = new AbortController();
        const timeoutPassed = clock.wait(settings.stopTimeoutMs, timeout.signal).catch(() => {});
        const idle = Promise.all([
            this.activeRequests.waitForIdle(),
            this.accountHost.waitForIdle(),
            this.serviceHost.drain(),
        ]);
        await Promise.race([idle, timeoutPassed]);
        timeout.abort();
    }

    /** Stops all roles immediately, without draining. */
    async stop(): Promise<void> {
        this.#lifecycle.send("stop");
        this.requestHandler.stop();
        await this.#supervisor.stop();
        this.#lifecycle.send("finish");
        this.#record(Decision.Stopped, "stopped");
    }

    #createLoader(): ConfigurationLoader {
        const { store, transport, decisions } = this.#options;
        const loader = new ConfigurationLoader({
            store,
            transport,
            decisions,
            findPeers: () => this.#findChunkPeers(),
        });
        loader.addHandlers(this.handlers);
        return loader;
    }

    #findChunkPeers(): readonly string[] {
        const selfId = this.membership.getSelf().id;
        const members = this.membership.getView().members.filter(member =>
            member.id !== selfId && this.membership.isReachable(member.id)
        );
        if (members.length === 0) {
            return this.#options.settings.seedPeers;
        }
        const start = Math.floor(this.#options.random.getNext() * members.length);
        return [...members.slice(start), ...members.slice(0, start)].slice(0, MAX_CHUNK_PEERS)
            .map(member => member.peerAddress);
    }

    #createMembership(headStore: StoredHeadStore): MembershipService {
        const { clock, random, transport, hostList, decisions, settings, incarnation } = this.#options;
        return new MembershipService({
            clock,
            random,
            transport,
            handlers: this.handlers,
            headStore,
            hostList,
            installer: this.loader,
            log: decisions,
            self: createMember(settings, incarnation),
            seedAddresses: settings.seedPeers,
            hostListLagMs: settings.hostListLagMs,
            handOver: () => this.accountHost.drain(),
        });
    }

    #createChanges(headStore: StoredHeadStore): ChangeService {
        const { store, clock } = this.#options;
        return new ChangeService({
            store,
            headStore,
            loader: this.loader,
            clock,
            waitForMajority: (version, timeoutMs) => this.membership.waitForMajority(version, timeoutMs),
            publishHead: head => this.membership.applyHead(head),
        });
    }

    #createServiceHost(): ServiceHost {
        const { clock, random, upstreamTransport, transport, decisions, settings, stallMeter } = this.#options;
        const isBaseline = settings.policy === Policy.Baseline;
        return new ServiceHost({
            clock,
            random,
            transport: upstreamTransport,
            handlers: this.handlers,
            peers: transport,
            membership: this.membership,
            decisions,
            policy: isBaseline ? EjectionPolicy.Baseline : EjectionPolicy.Sequential,
            stallMeter,
        });
    }

    #createAccountHost(): AccountHost {
        const { clock, random, transport, forwarder, store, decisions, settings } = this.#options;
        const isBaseline = settings.policy === Policy.Baseline;
        return new AccountHost({
            clock,
            random,
            membership: this.membership,
            transport,
            handlers: this.handlers,
            forwarder,
            store,
            serviceRunner: this.serviceHost,
            notices: this.serviceHost.notices,
            decisionLog: decisions,
            getConfiguration: () => this.getConfiguration(),
            ratePolicy: isBaseline ? RatePolicy.Baseline : RatePolicy.Shared,
        });
    }

    #createRequestHandler(): CallerRequestHandler {
        return new CallerRequestHandler({
            membership: this.membership,
            decisions: this.#options.decisions,
            activeRequests: this.activeRequests,
            accountRunner: this.#router,
            getConfiguration: () => this.getConfiguration(),
        });
    }

    #createSupervisor(): Supervisor {
        const { serviceHost, accountHost, membership } = this;
        return new Supervisor("roles", [
            { name: "service-host", start: async () => serviceHost.start(), stop: async () => serviceHost.stop() },
            { name: "account-host", start: async () => accountHost.start(), stop: async () => accountHost.stop() },
            { name: "membership", start: async () => membership.start(), stop: () => membership.stop() },
        ]);
    }

    #applyConfiguration(configuration: Configuration): void {
        this.serviceHost.apply(configuration);
        this.activeRequests.cancelRequestsWithInvalidKeys(configuration);
    }

    #record(decision: Decision, reason: string): void {
        this.#options.decisions.record({ decision, reason, member: this.#options.settings.id });
    }
}

function createMember(settings: EntrySettings, incarnation: string): Member {
    const { id, region, zone, peerAddress, callerAddress } = settings;
    return { id, region, zone, peerAddress, callerAddress, incarnation };
}
