import { Dispatcher, Quarantine } from "../../src/accounts/index.js";
import type { DispatchCall } from "../../src/accounts/index.js";
import { RouteAccess, RouteKind } from "../../src/configuration/index.js";
import type { Configuration, Service } from "../../src/configuration/index.js";
import { FakeClock, FakeMembership, FakeNetwork, FakeUpstreams } from "../../src/fakes/index.js";
import { GATEWAY_SERVICE_DEFAULTS } from "../../src/gateway/index.js";
import type { Member } from "../../src/head/index.js";
import { DecisionHistory } from "../../src/logging/index.js";
import { RegisteredMembership } from "../../src/membership/index.js";
import type { Outcome } from "../../src/outcomes/index.js";
import { OutcomeKind } from "../../src/outcomes/index.js";
import { PeerHandlers } from "../../src/peers/index.js";
import { SeededRandom } from "../../src/random/index.js";
import { EjectionPolicy, ServiceHost } from "../../src/services/index.js";
import type { UpstreamTransport } from "../../src/services/index.js";
import { CapacityLimitedHost } from "./CapacityLimitedHost.js";
import { createMember } from "./createMember.js";
import { CutTransport } from "./CutTransport.js";
import type { HostCapacity } from "./HostCapacity.js";

const DEFAULT_UPSTREAMS_PER_ZONE = 4;
const ZONES = ["zone-a", "zone-b", "zone-c"];
const TIMEOUT_MS = 4_000;
const TARGET_MS = 1_000;

interface DispatchHost {
    readonly membership: FakeMembership;
    readonly dispatcher: Dispatcher;
    readonly serviceHost: ServiceHost;
    readonly handlers: PeerHandlers;
}

interface DispatchBenchOptions {
    readonly hosts: number;
    /** Number of upstreams in each zone; four if left out. */
    readonly upstreamsPerZone?: number;
    /** Gets the capacity of a host; if left out, hosts have no limits and equal weight in the ranking. */
    readonly getHostCapacity?: (index: number) => HostCapacity;
    /** Fields that differ from the default service. */
    readonly service?: Partial<Service>;
    /** Mean service time of upstreams, in milliseconds. */
    readonly serviceTimeMs: number;
    /** Time limit of requests, in milliseconds; four seconds if left out. */
    readonly timeoutMs?: number;
    /** Length of their answers, in bytes. */
    readonly answerBytes?: number;
    /** Whether a host, by its number, is cut off from an upstream; no path is cut if left out. */
    readonly isCut?: (host: number, upstream: string) => boolean;
}

/** Entry hosts that send requests through one another's service hosts to fake upstreams of one service. */
export class DispatchBench {
    readonly clock = new FakeClock();
    readonly network = new FakeNetwork(this.clock);
    /** The decisions of all hosts. */
    readonly decisions = new DecisionHistory(this.clock);
    readonly upstreams: FakeUpstreams;
    readonly hosts: readonly DispatchHost[];
    /** The service as the hosts that send requests know it. */
    service: Service;
    readonly #options: DispatchBenchOptions;
    readonly #members: readonly Member[];
    #nextRequest = 0;

    /** @param options - The hosts and the upstreams. */
    constructor(options: DispatchBenchOptions) {
        const { hosts, service, serviceTimeMs, answerBytes, getHostCapacity } = options;
        const upstreamsPerZone = options.upstreamsPerZone ?? DEFAULT_UPSTREAMS_PER_ZONE;
        this.#options = options;
        this.upstreams = new FakeUpstreams({
            clock: this.clock,
            random: new SeededRandom(1),
            serviceTimeMs,
            answerBytes,
        });
        this.service = {
            ...GATEWAY_SERVICE_DEFAULTS,
            name: "orders",
            upstreams: ZONES.flatMap(zone =>
                Array.from({ length: upstreamsPerZone }, (_, index) => {
                    const name = `${zone}-${index}`;
                    return { name, address: `${name}:1`, zone, slots: 6, connections: 300 };
                })
            ),
            floor: 0.5,
            retryBudget: 0.2,
            ...service,
        };
        this.#members = Array.from({ length: hosts }, (_, index) => {
            const member = createMember(index);
            return getHostCapacity === undefined
                ? member
                : { ...member, capacity: getCapacity(getHostCapacity(index)) };
        });
        this.hosts = this.#members.map((member, index) => this.#createHost(member, index));
    }

    /** Makes all upstreams answer each request with status 500. */
    applyFailures(): void {
        this.service.upstreams.forEach(({ name }) => this.upstreams.applyFaults(name, { errorRate: 1 }));
    }

    /**
     * Applies a change of the service at the hosts that run requests.
     * @param service - The service as they know it from now on.
     */
    applyAtServiceHosts(service: Service): void {
        this.hosts.forEach(({ serviceHost }) => applyService(serviceHost, service));
    }

    /**
     * Sends a request from one host.
     * @param index - The host's number.
     * @param maxAttempts - Number of upstreams that its route allows it to be sent to.
     * @param isIdempotent - Whether it is a lookup rather than an order.
     */
    async run(index: number, maxAttempts: number, isIdempotent = true): Promise<Outcome> {
        const call = this.#createCall(maxAttempts, isIdempotent);
        const outcome = await this.hosts[index]!.dispatcher.run(call, new AbortController().signal);
        if (outcome.kind === OutcomeKind.Done) {
            outcome.body.resume();
        }
        return outcome;
    }

    /** Gets the id of the request that is sent next. */
    getNextRequestId(): string {
        return `r${this.#nextRequest}`;
    }

    #createHost(member: Member, index: number): DispatchHost {
        const { clock, network } = this;
        const membership = this.#createMembership(member);
        const handlers = new PeerHandlers();
        const shared = { clock, membership, handlers, random: new SeededRandom(index) };
        const serviceRunner = new ServiceHost({
            ...shared,
            transport: this.#createUpstreamTransport(index),
            peers: network.createTransport(member.peerAddress),
            decisions: this.decisions,
            policy: EjectionPolicy.Prompt,
        });
        applyService(serviceRunner, this.service);
        serviceRunner.start();
        const { getHostCapacity } = this.#options;
        const host = { handlers, serviceRunner };
        network.addHost(
            member.peerAddress,
            getHostCapacity === undefined ? host : new CapacityLimitedHost(clock, host, getHostCapacity(index)),
        );
        const options = {
            ...shared,
            transport: network.createTransport(member.peerAddress),
            forwarder: network.createForwarder(member.peerAddress),
            serviceRunner,
            notices: serviceRunner.notices,
            decisionLog: this.decisions,
            waitsUntilDeadline: true,
            isLocalFallbackEnabled: true,
        };
        return {
            membership,
            handlers,
            serviceHost: serviceRunner,
            dispatcher: new Dispatcher(options, new Quarantine(options)),
        };
    }

    #createUpstreamTransport(index: number): UpstreamTransport {
        const { isCut } = this.#options;
        return isCut === undefined
            ? this.upstreams
            : new CutTransport(this.clock, this.upstreams, name => isCut(index, name));
    }

    #createMembership(member: Member): FakeMembership {
        const membership = new FakeMembership(member, { version: 1, members: this.#members });
        if (this.#options.getHostCapacity !== undefined) {
            const registered = new RegisteredMembership(member, {
                isUnreachable: () => false,
                isIsolated: () => false,
            });
            registered.applyMembers(this.#members);
            membership.getServiceHosts = registered.getServiceHosts.bind(registered);
        }
        return membership;
    }

    #createCall(maxAttempts: number, isIdempotent: boolean): DispatchCall {
        const timeoutMs = this.#options.timeoutMs ?? TIMEOUT_MS;
        const route = {
            name: "r",
            path: "/",
            methods: [],
            service: this.service.name,
            kind: RouteKind.Lookup,
            access: RouteAccess.Open,
            deadlineMs: timeoutMs,
            targetMs: TARGET_MS,
            maxBodyBytes: 0,
            maxAttempts,
        };
        const request = {
            requestId: `r${this.#nextRequest++}`,
            account: undefined,
            keyId: undefined,
            route,
            method: "GET",
            path: "/",
            headers: {},
            body: Buffer.alloc(0),
            idempotencyKey: undefined,
            timeoutMs,
        };
        const deadline = this.clock.getTime() + timeoutMs;
        return { request, account: "shop", service: this.service, isIdempotent, deadline, fingerprint: "f" };
    }
}

/** Computes the capacity in the entry that a gateway publishes. */
function getCapacity({ cores, linkMbps }: HostCapacity): number {
    return cores * linkMbps;
}

function applyService(serviceHost: ServiceHost, service: Service): void {
    serviceHost.apply({ getService: () => service, getAccount: () => undefined } as unknown as Configuration);
}
