import { suite } from "uvu";
import * as assert from "uvu/assert";
import type { Service } from "../../src/configuration/index.js";
import type { ServiceBench } from "../../src/fakes/index.js";
import type { NotRunOutcome } from "../../src/outcomes/index.js";
import { OutcomeKind, RefusalReason } from "../../src/outcomes/index.js";
import { createPromptBench } from "../support/createPromptBench.js";
import { DispatchBench } from "../support/DispatchBench.js";
import { measureMostInWindow } from "../support/measureMostInWindow.js";

const SECOND_MS = 1_000;
const SERVICE_TIME_MS = 40;
const COLD_RATE = 4.6;
/** Most requests in a second to a cold upstream by the platform's bound. */
const BOUND = COLD_RATE * 1.5 + 8;
const COLD_MS = 3 * SECOND_MS;
const COLD_ZONE = "zone-b";

const test = suite("a cold upstream");

for (const isIdempotent of [true, false]) {
    test(`gets no more than it can take until it is warm, ${isIdempotent ? "lookups" : "orders"}`, async () => {
        const bench = createPromptBench(3);
        await bench.runLoad(150, 2 * SECOND_MS, { isIdempotent });
        applyCold(bench, ["u0"]);
        const start = bench.clock.getTime();
        const answers = await bench.runLoad(150, 2 * COLD_MS, { isIdempotent });
        const times = getTimes(bench, "u0").filter(time => time >= start);
        const cold = times.filter(time => time < start + COLD_MS);
        assert.ok(cold.length >= 0.6 * COLD_RATE * 3, `${cold.length} requests while it is cold`);
        assert.ok(measureMostInWindow(cold, SECOND_MS) <= COLD_RATE + 2);
        assert.ok(times.filter(time => time >= start + COLD_MS).length > 100, "it is used again");
        assert.ok(answers.every(({ outcome }) => outcome.kind === OutcomeKind.Done));
    });
}

test("is not ejected for its slowness, which does not count as usual either", async () => {
    const bench = createPromptBench(4);
    await bench.runLoad(60, 5 * SECOND_MS, { route: "r" });
    bench.upstreams.applyFaults("u0", { slowFactor: 12 });
    applyCold(bench, ["u0"]);
    const load = bench.runLoad(60, 5 * SECOND_MS, { route: "r" });
    await bench.clock.run(COLD_MS);
    bench.upstreams.applyFaults("u0", {});
    await bench.clock.run(5 * SECOND_MS);
    await load;
    assert.equal(bench.getStates(), ["healthy", "healthy", "healthy", "healthy"]);
    assert.is(bench.decisions.find({ upstream: "u0" }).filter(({ decision }) => decision === "ejected").length, 0);
});

test("is not taken for silent because its answers take long, and is if none comes", async () => {
    const bench = createPromptBench(4);
    const order = { route: "r", isIdempotent: false, timeoutMs: 4 * SECOND_MS };
    await bench.runLoad(60, 5 * SECOND_MS, order);
    bench.upstreams.applyFaults("u0", { slowFactor: 15 });
    applyCold(bench, ["u0"], 20 * SECOND_MS);
    await bench.runLoad(100, 10 * SECOND_MS, order);
    assert.equal(bench.getStates(), ["healthy", "healthy", "healthy", "healthy"]);
    bench.upstreams.applyFaults("u0", { hangRate: 1 });
    await bench.runLoad(100, 5 * SECOND_MS, order);
    assert.is(bench.getStates()[0], "ejected");
});

test("that fails is ejected, cold or not", async () => {
    const bench = createPromptBench(8);
    applyCold(bench, ["u0"], 20 * SECOND_MS);
    bench.upstreams.applyFaults("u0", { errorRate: 1 });
    await bench.runLoad(60, 10 * SECOND_MS);
    assert.ok(["ejected", "probation"].includes(bench.getStates()[0]!), bench.getStates()[0]);
});

test("that registers as warm is used fully at once, and one that turns cold again is not", async () => {
    const bench = createPromptBench(2);
    const { upstreams } = bench.service;
    applyCold(bench, ["u0", "u1"], 60 * SECOND_MS);
    await bench.runLoad(100, SECOND_MS);
    bench.apply({ upstreams });
    const before = getTimes(bench, "u0").length;
    await bench.runLoad(100, SECOND_MS);
    assert.ok(getTimes(bench, "u0").length - before > 40);
    applyCold(bench, ["u0", "u1"], 60 * SECOND_MS);
    const start = bench.clock.getTime();
    await bench.runLoad(100, 3 * SECOND_MS);
    assert.ok(measureMostInWindow(getTimes(bench, "u0").filter(time => time >= start), SECOND_MS) <= COLD_RATE + 2);
});

test("what cold upstreams can't take in time is refused at once with the time that they need", async () => {
    const bench = createPromptBench(2);
    await bench.runLoad(60, 3 * SECOND_MS, { route: "r", isIdempotent: false });
    applyCold(bench, ["u0", "u1"]);
    const start = bench.clock.getTime();
    const refusals: NotRunOutcome[] = [];
    const sent = Array.from({ length: 40 }, async () => {
        const { outcome } = await bench.send({ route: "r", isIdempotent: false, timeoutMs: SECOND_MS });
        if (outcome.kind === OutcomeKind.NotRun) {
            assert.is(bench.clock.getTime(), start);
            refusals.push(outcome);
        }
    });
    await bench.clock.run(5 * SECOND_MS);
    await Promise.all(sent);
    assert.ok(refusals.length >= 25, `${refusals.length} refusals`);
    assert.ok(refusals.every(({ reason }) => reason === RefusalReason.Overloaded));
    assert.ok(refusals.every(({ retryAfterMs }) => retryAfterMs! >= 100 && retryAfterMs! <= 1.25 * COLD_MS));
});

test("hosts that are cut off from one another keep to what it can take together", async () => {
    const bench = new DispatchBench({ hosts: 9, serviceTimeMs: SERVICE_TIME_MS, service: { coldRate: COLD_RATE } });
    await runLoad(bench, 2 * SECOND_MS, 200);
    const addresses = bench.hosts.map(({ membership }) => membership.getSelf().peerAddress);
    addresses.forEach(from => addresses.forEach(to => bench.network.closeDirection(from, to)));
    await runLoad(bench, 2 * SECOND_MS, 200);
    const start = bench.clock.getTime();
    bench.applyAtServiceHosts(createColdService(bench.service, start + 10 * SECOND_MS, ["zone-a", "zone-b", "zone-c"]));
    await runLoad(bench, 10 * SECOND_MS, 200);
    for (const { name } of bench.service.upstreams) {
        const most = getMost(bench, name, start, start + 10 * SECOND_MS);
        assert.ok(most <= BOUND, `${most} requests to ${name} in a second`);
    }
});

test("a request does not wait for a cold upstream while another zone can run it", async () => {
    const bench = new DispatchBench({ hosts: 3, serviceTimeMs: SERVICE_TIME_MS, service: { coldRate: COLD_RATE } });
    await runLoad(bench, SECOND_MS, 100);
    bench.applyAtServiceHosts(createColdService(bench.service, bench.clock.getTime() + COLD_MS, [COLD_ZONE]));
    const start = bench.clock.getTime();
    const ends: number[] = [];
    const sent = Array.from({ length: 60 }, (_, index) =>
        bench.run(index % 3, 2, false).then(({ kind }) => {
            assert.is(kind, OutcomeKind.Done);
            ends.push(bench.clock.getTime() - start);
        }));
    await bench.clock.run(5 * SECOND_MS);
    await Promise.all(sent);
    assert.ok(Math.max(...ends) < 500, `${Math.max(...ends)} ms`);
});

test("sixty of a zone at once get no more than they can take, and the other zones serve the rest", async () => {
    const bench = new DispatchBench({
        hosts: 12,
        upstreamsPerZone: 60,
        serviceTimeMs: SERVICE_TIME_MS,
        service: { coldRate: COLD_RATE },
    });
    await runLoad(bench, SECOND_MS, 1_000);
    const start = bench.clock.getTime();
    bench.applyAtServiceHosts(createColdService(bench.service, start + COLD_MS, [COLD_ZONE]));
    const kinds = await runLoad(bench, 2 * COLD_MS, 1_000);
    assert.ok(kinds.filter(kind => kind === OutcomeKind.Done).length >= 0.999 * kinds.length);
    const cold = bench.service.upstreams.filter(({ zone }) => zone === COLD_ZONE);
    const most = Math.max(...cold.map(({ name }) => getMost(bench, name, start, start + COLD_MS)));
    assert.ok(most <= COLD_RATE + 2, `${most} requests in a second`);
    const later = bench.upstreams.records.filter(({ time, upstream }) =>
        time >= start + COLD_MS && upstream.startsWith(COLD_ZONE)
    );
    assert.ok(later.length > 500, `${later.length} requests to the warm zone`);
});

test.run();

function applyCold(bench: ServiceBench, names: readonly string[], coldMs = COLD_MS): void {
    const warmTime = bench.clock.getTime() + coldMs;
    const upstreams = bench.service.upstreams.map(upstream =>
        names.includes(upstream.name) ? { ...upstream, warmTime } : upstream
    );
    bench.apply({ coldRate: COLD_RATE, upstreams });
}

function createColdService(service: Service, warmTime: number, zones: readonly string[]): Service {
    const upstreams = service.upstreams.map(upstream =>
        zones.includes(upstream.zone) ? { ...upstream, warmTime } : upstream
    );
    return { ...service, upstreams };
}

function getTimes(bench: ServiceBench, name: string): number[] {
    return bench.upstreams.records.filter(({ upstream }) => upstream === name).map(({ time }) => time);
}

function getMost(bench: DispatchBench, name: string, start: number, end: number): number {
    const times = bench.upstreams.records.filter(({ upstream, time }) =>
        upstream === name && time >= start && time < end
    );
    return measureMostInWindow(times.map(({ time }) => time), SECOND_MS);
}

/** Sends orders from all hosts in turn; returns the kinds of their outcomes. */
async function runLoad(bench: DispatchBench, durationMs: number, ratePerSecond: number): Promise<OutcomeKind[]> {
    const sent: Promise<OutcomeKind>[] = [];
    const end = bench.clock.getTime() + durationMs;
    for (let index = 0; bench.clock.getTime() < end; index++) {
        sent.push(bench.run(index % bench.hosts.length, 2, false).then(({ kind }) => kind));
        await bench.clock.run(SECOND_MS / ratePerSecond);
    }
    const started = Promise.all(sent);
    await bench.clock.run(5 * SECOND_MS);
    return await started;
}
