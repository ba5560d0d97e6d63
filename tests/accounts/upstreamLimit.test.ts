import { suite } from "uvu";
import * as assert from "uvu/assert";
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
import { createMember } from "../support/createMember.js";
import { runClockUntil } from "../support/runClockUntil.js";

const HOSTS = 9;
const SELF = 4;
const UPSTREAMS_A_ZONE = 4;
const ZONES = ["zone-a", "zone-b", "zone-c"];
const SERVICE_TIME_MS = 200;
const TIMEOUT_MS = 4_000;
const MAX_ATTEMPTS = 2;

const SERVICE: Service = {
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
    retryRate: 5,
};

const test = suite("upstream limit");
let clock: FakeClock;
let network: FakeNetwork;
let membership: FakeMembership;
let upstreams: FakeUpstreams;
let decisions: DecisionHistory;
let dispatcher: Dispatcher;

test.before.each(() => {
    clock = new FakeClock();
    network = new FakeNetwork(clock);
    decisions = new DecisionHistory(clock);
    upstreams = new FakeUpstreams({ clock, random: new SeededRandom(1), serviceTimeMs: SERVICE_TIME_MS });
    const members = Array.from({ length: HOSTS }, (_, index) => createMember(index));
    membership = new FakeMembership(members[SELF]!, { version: 1, members });
    const serviceHosts = members.map(member => addServiceHost(member, members));
    dispatcher = createDispatcher(serviceHosts[SELF]!);
});

test("a lookup whose service host is lost while it runs reaches no more upstreams than its route allows", async () => {
    await runClockUntil(clock, run());
    await runClockUntil(clock, run());
    upstreams.records.splice(0);
    SERVICE.upstreams.forEach(({ name }) => upstreams.applyFaults(name, { errorRate: 1 }));
    const outcome = run();
    await clock.run(SERVICE_TIME_MS / 4);
    removeServiceHosts("zone-b");
    await runClockUntil(clock, outcome);
    assert.ok(findUpstreamsRun().length <= MAX_ATTEMPTS, findUpstreamsRun().join(", "));
});

test("a lookup that may go to no further upstream is not given up while its service host runs it", async () => {
    SERVICE.upstreams.forEach(({ name }) => upstreams.applyFaults(name, { slowFactor: 6 }));
    const outcome = run(1);
    await clock.run(SERVICE_TIME_MS / 4);
    membership.getServiceHosts(SERVICE.name, "zone-b").forEach(({ id }) => membership.unreachable.add(id));
    assert.is((await runClockUntil(clock, outcome))!.kind, OutcomeKind.Done);
});

test.run();

function addServiceHost(member: Member, members: readonly Member[]): ServiceHost {
    const handlers = new PeerHandlers();
    const serviceHost = new ServiceHost({
        clock,
        random: new SeededRandom(1),
        transport: upstreams,
        handlers,
        peers: network.createTransport(member.peerAddress),
        membership: new FakeMembership(member, { version: 1, members }),
        decisions,
        policy: EjectionPolicy.Prompt,
    });
    serviceHost.apply({ getService: () => SERVICE, getAccount: () => undefined } as unknown as Configuration);
    network.addHost(member.peerAddress, { handlers, serviceRunner: serviceHost });
    return serviceHost;
}

function createDispatcher(serviceRunner: ServiceHost): Dispatcher {
    const { peerAddress } = membership.getSelf();
    const options = {
        clock,
        random: new SeededRandom(1),
        membership,
        handlers: new PeerHandlers(),
        transport: network.createTransport(peerAddress),
        forwarder: network.createForwarder(peerAddress),
        serviceRunner,
        decisionLog: decisions,
        waitsUntilDeadline: true,
        isSelfSufficient: true,
    };
    return new Dispatcher(options, new Quarantine(options));
}

/** Takes the service hosts of a zone away, as a crash does, without what they run at upstreams. */
function removeServiceHosts(zone: string): void {
    for (const { id, peerAddress } of membership.getServiceHosts(SERVICE.name, zone)) {
        if (id !== membership.getSelf().id) {
            network.removeHost(peerAddress);
            membership.unreachable.add(id);
        }
    }
}

function findUpstreamsRun(): string[] {
    return [...new Set(upstreams.records.filter(({ isRun }) => isRun).map(({ upstream }) => upstream))];
}

async function run(maxAttempts = MAX_ATTEMPTS): Promise<Outcome> {
    const outcome = await dispatcher.run(createCall(maxAttempts), new AbortController().signal);
    if (outcome.kind === OutcomeKind.Done) {
        outcome.body.resume();
    }
    return outcome;
}

function createCall(maxAttempts: number): DispatchCall {
    const route = {
        name: "r",
        path: "/",
        methods: [],
        service: SERVICE.name,
        kind: RouteKind.Lookup,
        access: RouteAccess.Open,
        deadlineMs: TIMEOUT_MS,
        maxBodyBytes: 0,
        maxAttempts,
    };
    const request = {
        requestId: `r${clock.getTime()}`,
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
    const deadline = clock.getTime() + TIMEOUT_MS;
    return { request, account: "shop", service: SERVICE, isIdempotent: true, deadline, fingerprint: "f" };
}
