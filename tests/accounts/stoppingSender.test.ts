import fc from "fast-check";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import type { Outcome } from "../../src/outcomes/index.js";
import { OutcomeKind, RefusalReason } from "../../src/outcomes/index.js";
import { PeerMethod } from "../../src/peers/index.js";
import { DispatchBench } from "../support/DispatchBench.js";

const ORDER_MS = 1_000;
const HOSTS = 6;
const SLOTS = 2;
const MAX_ATTEMPTS = 2;
/** Orders that are answered before the stop, so that the service host knows how long they take. */
const KNOWN_ORDERS = 30;
/** Time for a message to reach the service host and for a refusal to come back, in milliseconds. */
const TRAVEL_MS = 10;
const END_MS = 60_000;

interface SentRequest {
    readonly requestId: string;
    readonly isIdempotent: boolean;
    outcome: Outcome | undefined;
}

const test = suite("a host that stops while its requests wait at other service hosts");
let bench: DispatchBench;

test.before.each(async () => {
    bench = await createBench();
});

for (const isIdempotent of [false, true]) {
    const name = isIdempotent ? "a lookup" : "an order";
    test(`${name} that could no longer end is refused at once as not run, and what runs is finished`, async () => {
        const { clock } = bench;
        const sent = Array.from({ length: 3 * SLOTS }, () => send(0, isIdempotent));
        await clock.run(100);
        const stopTime = clock.getTime();
        leave(0, stopTime + 1.2 * ORDER_MS);
        await clock.run(TRAVEL_MS);
        const waiting = sent.slice(SLOTS);
        assert.equal(waiting.filter(request => !isRefused(request)), []);
        await clock.run(2 * ORDER_MS);
        assert.ok(sent.slice(0, SLOTS).every(({ outcome }) => outcome?.kind === OutcomeKind.Done));
        checkRefusals(sent);
    });
}

test("a request that is sent after the stop began is refused on its arrival", async () => {
    const running = Array.from({ length: SLOTS }, () => send(1));
    await bench.clock.run(100);
    leave(0, bench.clock.getTime() + 0.5 * ORDER_MS);
    const late = send(0);
    await bench.clock.run(TRAVEL_MS);
    assert.ok(isRefused(late));
    await bench.clock.run(2 * ORDER_MS);
    assert.ok(running.every(({ outcome }) => outcome?.kind === OutcomeKind.Done));
    checkRefusals([late]);
});

test("requests whose turn would come too late are refused at once, and the first ones wait on", async () => {
    const sent = Array.from({ length: 4 * SLOTS }, () => send(0));
    await bench.clock.run(100);
    leave(0, bench.clock.getTime() + 2.5 * ORDER_MS);
    await bench.clock.run(TRAVEL_MS);
    assert.ok(sent.slice(3 * SLOTS).every(isRefused));
    assert.not.ok(sent.slice(0, SLOTS + 1).some(isRefused));
    await bench.clock.run(4 * ORDER_MS);
    checkRefusals(sent);
});

test("requests that come after the stop began behind too many others are refused at once, and these are served", async () => {
    const others = Array.from({ length: 3 * SLOTS }, () => send(1));
    await bench.clock.run(100);
    leave(0, bench.clock.getTime() + 2.5 * ORDER_MS);
    const late: SentRequest[] = [];
    for (let index = 0; index < 3; index++) {
        late.push(send(0));
        await bench.clock.run(TRAVEL_MS);
        assert.ok(late.every(isRefused));
    }
    await bench.clock.run(10 * ORDER_MS);
    assert.ok(others.every(({ outcome }) => outcome?.kind === OutcomeKind.Done));
    checkRefusals(late);
});

test("requests of other hosts wait on while one host stops", async () => {
    const sent = Array.from({ length: 2 * SLOTS }, () => send(1));
    await bench.clock.run(100);
    leave(0, bench.clock.getTime() + 0.5 * ORDER_MS);
    await bench.clock.run(4 * ORDER_MS);
    assert.ok(sent.every(({ outcome }) => outcome?.kind === OutcomeKind.Done));
});

test("the message of a stop is sent again if the first one is lost", async () => {
    const [sender, receiver] = [bench.hosts[0]!, getServiceHost()].map(host => host.membership.getSelf().peerAddress);
    const sent = Array.from({ length: 3 * SLOTS }, () => send(0));
    await bench.clock.run(100);
    bench.network.closeDirection(sender!, receiver!);
    leave(0, bench.clock.getTime() + 1.5 * ORDER_MS);
    await bench.clock.run(TRAVEL_MS);
    bench.network.openDirection(sender!, receiver!);
    await bench.clock.run(1.5 * ORDER_MS);
    assert.ok(sent.some(isRefused));
    assert.ok(sent.every(({ outcome }) => outcome !== undefined));
    checkRefusals(sent);
});

test("requests run as before at a service host of an earlier version, which doesn't know of the senders' stops", async () => {
    const { clock } = bench;
    const { handlers } = getServiceHost();
    const run = handlers.run.bind(handlers);
    Object.assign(handlers, {
        run: (method: PeerMethod, params: never) =>
            method === PeerMethod.RecordSenderEnd ? Promise.reject(new Error("unknown method")) : run(method, params),
    });
    const sent = Array.from({ length: 2 * SLOTS }, () => send(0));
    await clock.run(100);
    leave(0, clock.getTime() + 1.2 * ORDER_MS);
    await clock.run(4 * ORDER_MS);
    assert.ok(sent.every(({ outcome }) => outcome?.kind === OutcomeKind.Done));
});

// Guards against orders of a stopping host that another host passed on late, and that were cut at the end of the stop.
test("a service host passes no request on that its sender would abort first, whatever waits and whichever hosts stop", async () => {
    const property = fc.asyncProperty(
        fc.array(fc.record({ atMs: fc.nat(4_000), isIdempotent: fc.boolean() }), { minLength: 1, maxLength: 30 }),
        fc.integer({ min: 500, max: 3_500 }),
        fc.integer({ min: 1, max: 40 }),
        fc.option(fc.integer({ min: -800, max: 800 }), { nil: undefined }),
        async (arrivals, graceMs, delayMs, serviceHostDelayMs) => {
            bench = await createBench();
            const { clock, network } = bench;
            network.delayMs = delayMs;
            const sent: SentRequest[] = [];
            arrivals.forEach(({ atMs, isIdempotent }) =>
                clock.schedule(atMs, () => void sent.push(send(0, isIdempotent)))
            );
            await clock.run(1_000);
            const leaveTime = clock.getTime();
            const endTime = leaveTime + graceMs;
            if (serviceHostDelayMs !== undefined) {
                getServiceHost().serviceHost.leave(endTime + serviceHostDelayMs);
            }
            leave(0, endTime);
            await clock.run(END_MS);
            const informedTime = leaveTime + delayMs;
            const late = bench.upstreams.records.filter(({ time, isRun }) =>
                isRun && time > informedTime && time + ORDER_MS > endTime + delayMs
            );
            assert.equal(late, []);
            assert.ok(sent.every(({ outcome }) => outcome !== undefined));
            const orders = sent.filter(({ isIdempotent }) => !isIdempotent);
            assert.ok(orders.every(({ outcome }) => outcome?.kind !== OutcomeKind.Unknown));
            checkRefusals(sent);
        },
    );
    await fc.assert(property, { seed: 11, numRuns: 40 });
});

test.run();

/** Creates hosts of which the first one is not the service host of the orders. */
async function createBench(): Promise<DispatchBench> {
    const upstream = { name: "u", address: "u:1", zone: "zone-a", slots: SLOTS, connections: 300 };
    const created = new DispatchBench({
        hosts: HOSTS,
        serviceTimeMs: ORDER_MS,
        timeoutMs: 30_000,
        service: { upstreams: [upstream], queuePerSlot: 100 },
    });
    bench = created;
    const known = Array.from({ length: KNOWN_ORDERS }, () => send(1));
    await created.clock.run(END_MS);
    assert.ok(known.every(({ outcome }) => outcome?.kind === OutcomeKind.Done));
    return created;
}

function send(host: number, isIdempotent = false): SentRequest {
    const sent: SentRequest = { requestId: bench.getNextRequestId(), isIdempotent, outcome: undefined };
    void bench.run(host, MAX_ATTEMPTS, isIdempotent).then(outcome => (sent.outcome = outcome));
    return sent;
}

function leave(host: number, endTime: number): void {
    const { dispatcher, serviceHost } = bench.hosts[host]!;
    dispatcher.leave(endTime);
    serviceHost.leave(endTime);
}

/** Gets the service host of the orders, which is not the first host. */
function getServiceHost(): DispatchBench["hosts"][number] {
    const [first] = bench.hosts[0]!.membership.getServiceHosts(bench.service.name, "zone-a");
    const index = bench.hosts.findIndex(({ membership }) => membership.getSelf().id === first!.id);
    assert.is.not(index, 0);
    return bench.hosts[index]!;
}

function isRefused({ outcome }: SentRequest): boolean {
    return outcome?.kind === OutcomeKind.NotRun && outcome.reason === RefusalReason.HostStopping &&
        outcome.retryAfterMs !== undefined;
}

/** Checks that no request ran that was refused as not run. */
function checkRefusals(sent: readonly SentRequest[]): void {
    const ran = new Set(
        bench.upstreams.records.filter(({ isRun }) => isRun).map(({ requestId }) => requestId.split(".")[0]!),
    );
    const wrong = sent.filter(({ requestId, outcome }) => outcome?.kind === OutcomeKind.NotRun && ran.has(requestId));
    assert.equal(wrong, []);
}
