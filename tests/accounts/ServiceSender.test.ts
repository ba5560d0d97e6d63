import { suite } from "uvu";
import * as assert from "uvu/assert";
import type { DispatchCall } from "../../src/accounts/index.js";
import { ServiceSender } from "../../src/accounts/ServiceSender.js";
import { RouteAccess, RouteKind } from "../../src/configuration/index.js";
import { FakeClock, FakeMembership, FakeNetwork, FakeServiceRunner } from "../../src/fakes/index.js";
import { GATEWAY_SERVICE_DEFAULTS } from "../../src/gateway/index.js";
import { DecisionHistory } from "../../src/logging/index.js";
import { OutcomeKind } from "../../src/outcomes/index.js";
import { PeerHandlers, PeerMethod } from "../../src/peers/index.js";
import { SeededRandom } from "../../src/random/index.js";
import { createMember } from "../support/createMember.js";
import { runClockUntil } from "../support/runClockUntil.js";

const HOSTS = 9;
const TIMEOUT_MS = 3_000;
const { detection: DETECTION } = GATEWAY_SERVICE_DEFAULTS;
const HOST_IDS = Array.from({ length: HOSTS }, (_, index) => createMember(index).id);
const PART = { key: "zone-a", zone: "zone-a", index: 0 };
const ATTEMPT = {
    number: 1,
    part: PART,
    sentBefore: 0,
    isCounted: false,
    excludedUpstreams: [],
    hasRecentLoads: false,
    claimId: 1,
    isLast: false,
};

const test = suite("ServiceSender");
let clock: FakeClock;
let network: FakeNetwork;
let membership: FakeMembership;
let runners: FakeServiceRunner[];
let sender: ServiceSender;
let ownRunner: FakeServiceRunner;

test.before.each(() => {
    clock = new FakeClock();
    network = new FakeNetwork(clock);
    const members = Array.from({ length: HOSTS }, (_, index) => createMember(index));
    const self = members[1]!;
    membership = new FakeMembership(self, { version: 1, members });
    runners = members.map(member => {
        const serviceRunner = new FakeServiceRunner(clock);
        const handlers = new PeerHandlers();
        handlers.add(PeerMethod.IsServing, () => ({ isServing: true }));
        network.addHost(member.peerAddress, { handlers, serviceRunner });
        return serviceRunner;
    });
    ownRunner = runners[1]!;
    sender = new ServiceSender({
        clock,
        random: new SeededRandom(1),
        membership,
        transport: network.createTransport(self.peerAddress),
        handlers: new PeerHandlers(),
        forwarder: network.createForwarder(self.peerAddress),
        serviceRunner: ownRunner,
        decisionLog: new DecisionHistory(clock),
        waitsUntilDeadline: true,
        isLocalFallbackEnabled: true,
    });
});

test("a host that reaches no service host of a zone sends to the upstreams directly", async () => {
    runners.forEach((_, index) => network.removeHost(createMember(index).peerAddress));
    const answer = await runClockUntil(clock, send(RouteKind.Order));
    assert.is(answer!.outcome.kind, OutcomeKind.Done);
    assert.is(ownRunner.runs.length, 1);
});

test("an isolated host does not try other service hosts first", async () => {
    Object.assign(membership, { isIsolated: () => true });
    runners.forEach((_, index) => network.stopAnswers(createMember(index).peerAddress));
    const start = clock.getTime();
    const answer = await runClockUntil(clock, send(RouteKind.Order));
    assert.is(answer!.outcome.kind, OutcomeKind.Done);
    assert.ok(clock.getTime() - start <= 100, `${clock.getTime() - start} ms`);
});

test("a lookup's service host is found late long before the deadline when it is reported unreachable, and its answer awaited", async () => {
    const first = membership.getServiceHosts("orders", "zone-a")[0]!;
    clock.schedule(5, () => network.stopAnswers(first.peerAddress));
    clock.schedule(500, () => membership.unreachable.add(first.id));
    await checkLateHost(TIMEOUT_MS / 2);
});

test("a lookup's service host is found late within a second when it stops answering, before it is reported unreachable, and its answer awaited", async () => {
    const first = membership.getServiceHosts("orders", "zone-a")[0]!;
    clock.schedule(5, () => network.stopAnswers(first.peerAddress));
    await checkLateHost(1_000);
});

test("a lookup waits for a service host that is reported unreachable but answers this host's other requests", async () => {
    const first = membership.getServiceHosts("orders", "zone-a")[0]!;
    const runner = runners[HOST_IDS.indexOf(first.id)]!;
    runner.delayMs = 1_000;
    const lookup = send(RouteKind.Lookup);
    await clock.run(300);
    runner.delayMs = 50;
    await runClockUntil(clock, send(RouteKind.Lookup));
    membership.unreachable.add(first.id);
    assert.is((await runClockUntil(clock, lookup))!.outcome.kind, OutcomeKind.Done);
    assert.is(runner.runs.length, 2);
});

for (const [name, kind] of [["an order", RouteKind.Order], ["a lookup", RouteKind.Lookup]] as const) {
    test(`${name} is not sent to a service host that does not answer, but to the next one`, async () => {
        const first = membership.getServiceHosts("orders", "zone-a")[0]!;
        network.stopAnswers(first.peerAddress);
        const answer = await runClockUntil(clock, send(kind));
        assert.is(answer!.outcome.kind, OutcomeKind.Done);
        assert.ok(clock.getTime() < TIMEOUT_MS / 4, `${clock.getTime()} ms`);
        assert.is(runners.flatMap(runner => runner.runs).length, 1);
    });
}

test("an order that was sent to a host that then stopped answering is not sent to another host", async () => {
    await runClockUntil(clock, send(RouteKind.Order));
    const first = membership.getServiceHosts("orders", "zone-a")[0]!;
    network.stopAnswers(first.peerAddress);
    const runs = runners.flatMap(runner => runner.runs).length;
    const answer = await runClockUntil(clock, send(RouteKind.Order), 120_000);
    assert.is(answer!.outcome.kind, OutcomeKind.Unknown);
    assert.ok(runners.flatMap(runner => runner.runs).length <= runs + 1);
});

test("an order at a host that is silent for a while, and reported so, is neither sent again nor given up", async () => {
    const first = membership.getServiceHosts("orders", "zone-a")[0]!;
    runners.forEach(runner => runner.delayMs = 400);
    clock.schedule(50, () => network.stopAnswers(first.peerAddress));
    clock.schedule(80, () => membership.unreachable.add(first.id));
    clock.schedule(350, () => network.startAnswers(first.peerAddress));
    const answer = await runClockUntil(clock, send(RouteKind.Order));
    assert.is(answer!.outcome.kind, OutcomeKind.Done);
    assert.is(runners.flatMap(runner => runner.runs).length, 1);
});

test.run();

async function send(kind: RouteKind, onLate = (): void => {}): ReturnType<ServiceSender["send"]> {
    return await sender.send(createCall(kind), ATTEMPT, new AbortController().signal, onLate);
}

/** Sends a lookup whose service host is lost while it has it: another one may start in time, but this one isn't given up. */
async function checkLateHost(limitMs: number): Promise<void> {
    const lateTimes: number[] = [];
    let hasEnded = false;
    const lookup = send(RouteKind.Lookup, () => lateTimes.push(clock.getTime())).finally(() => hasEnded = true);
    while (lateTimes.length === 0 && clock.getTime() < limitMs) {
        await clock.run(10);
    }
    assert.ok(lateTimes[0]! < limitMs, `${lateTimes[0]} ms`);
    assert.is((await runClockUntil(clock, send(RouteKind.Lookup)))!.outcome.kind, OutcomeKind.Done);
    await clock.run(TIMEOUT_MS - 1 - clock.getTime());
    assert.not.ok(hasEnded);
    assert.is((await runClockUntil(clock, lookup))!.outcome.kind, OutcomeKind.Unknown);
    assert.is(lateTimes.length, 1);
}

function createCall(kind: RouteKind): DispatchCall {
    const route = {
        name: "r",
        path: "/",
        methods: [],
        service: "orders",
        kind,
        access: RouteAccess.Open,
        deadlineMs: TIMEOUT_MS,
        maxBodyBytes: 0,
    };
    return {
        request: {
            requestId: `r${clock.getTime()}`,
            account: undefined,
            keyId: undefined,
            route,
            method: "POST",
            path: "/",
            headers: {},
            body: Buffer.alloc(0),
            idempotencyKey: undefined,
            timeoutMs: TIMEOUT_MS,
        },
        account: "shop",
        service: { name: "orders", upstreams: [], floor: 0, retryBudget: 0, queuePerSlot: 1, detection: DETECTION },
        isIdempotent: kind !== RouteKind.Order,
        deadline: clock.getTime() + TIMEOUT_MS,
        fingerprint: "f",
    };
}
