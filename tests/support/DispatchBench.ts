import { Dispatcher, Quarantine } from "../../src/accounts/index.js";
import type { DispatchCall } from "../../src/accounts/index.js";
import { RouteAccess, RouteKind } from "../../src/configuration/index.js";
import type { Configuration, Service } from "../../src/configuration/index.js";
import { FakeClock, FakeMembership, FakeNetwork, FakeUpstreams } from "../../src/fakes/index.js";
import { GATEWAY_SERVICE } from "../../src/gateway/index.js";
import type { Member } from "../../src/head/index.js";
import { DecisionHistory } from "../../src/logging/index.js";
import type { Outcome } from "../../src/outcomes/index.js";
import { OutcomeKind } from "../../src/outcomes/index.js";
import { PeerHandlers } from "../../src/peers/index.js";
import { SeededRandom } from "../../src/random/index.js";
import { EjectionPolicy, ServiceHost } from "../../src/services/index.js";
import { createMember } from "./createMember.js";

const UPSTREAMS_A_ZONE = 4;
const ZONES = ["zone-a", "zone-b", "zone-c"];
const TIMEOUT_MS = 4_000;

interface DispatchHost {
    readonly membership: FakeMembership;
    readonly dispatcher: Dispatcher;
}

interface DispatchBenchOptions {
    readonly hosts: number;
    /** What differs from the usual service. */
    readonly service?: Partial<Service>;
    /** How long upstreams take, in milliseconds. */
    readonly serviceTimeMs: number;
}

/** Entry hosts that send lookups through one another's service hosts to fake upstreams of one service. */
export class DispatchBench {
    readonly clock = new FakeClock();
    readonly network = new FakeNetwork(this.clock);
    readonly upstreams: FakeUpstreams;
    readonly hosts: readonly DispatchHost[];
    readonly service: Service;
    readonly #members: readonly Member[];
    readonly #decisions = new DecisionHistory(this.clock);
    #nextRequest = 0;

    /** @param options - How many hosts, and what they send to. */
    constructor({ hosts, service, serviceTimeMs }: DispatchBenchOptions) {
        this.upstreams = new FakeUpstreams({ clock: this.clock, random: new SeededRandom(1), serviceTimeMs });
        this.service = {
            ...GATEWAY_SERVICE,
            name: "orders",
            upstreams: ZONES.flatMap(zone =>
                Array.from({ length: UPSTREAMS_A_ZONE }, (_, index) => {
                    const name = `${zone}-${index}`;
                    return { name, address: `${name}:1`, zone, slots: 6, connections: 300 };
                })
            ),
            floor: 0.5,
            retryBudget: 0.2,
            ...service,
        };
        this.#members = Array.from({ length: hosts }, (_, index) => createMember(index));
        this.hosts = this.#members.map(member => this.#createHost(member));
    }

    /** Makes all upstreams answer each request with a failure. */
    applyFailures(): void {
        this.service.upstreams.forEach(({ name }) => this.upstreams.applyFaults(name, { errorRate: 1 }));
    }

    /**
     * Sends a lookup from one host.
     * @param index - The host's number.
     * @param maxAttempts - To how many upstreams its route lets it go.
     */
    async run(index: number, maxAttempts: number): Promise<Outcome> {
        const call = this.#createCall(maxAttempts);
        const outcome = await this.hosts[index]!.dispatcher.run(call, new AbortController().signal);
        if (outcome.kind === OutcomeKind.Done) {
            outcome.body.resume();
        }
        return outcome;
    }

    #createHost(member: Member): DispatchHost {
        const { clock, network } = this;
        const membership = new FakeMembership(member, { version: 1, members: this.#members });
        const handlers = new PeerHandlers();
        const shared = { clock, membership, handlers, random: new SeededRandom(1) };
        const serviceRunner = new ServiceHost({
            ...shared,
            transport: this.upstreams,
            peers: network.createTransport(member.peerAddress),
            decisions: this.#decisions,
            policy: EjectionPolicy.Prompt,
        });
        serviceRunner.apply({
            getService: () => this.service,
            getAccount: () => undefined,
        } as unknown as Configuration);
        network.addHost(member.peerAddress, { handlers, serviceRunner });
        const options = {
            ...shared,
            transport: network.createTransport(member.peerAddress),
            forwarder: network.createForwarder(member.peerAddress),
            serviceRunner,
            decisionLog: this.#decisions,
            waitsUntilDeadline: true,
            isSelfSufficient: true,
        };
        return { membership, dispatcher: new Dispatcher(options, new Quarantine(options)) };
    }

    #createCall(maxAttempts: number): DispatchCall {
        const route = {
            name: "r",
            path: "/",
            methods: [],
            service: this.service.name,
            kind: RouteKind.Lookup,
            access: RouteAccess.Open,
            deadlineMs: TIMEOUT_MS,
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
            timeoutMs: TIMEOUT_MS,
        };
        const deadline = this.clock.getTime() + TIMEOUT_MS;
        return { request, account: "shop", service: this.service, isIdempotent: true, deadline, fingerprint: "f" };
    }
}
