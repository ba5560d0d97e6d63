import { suite } from "uvu";
import * as assert from "uvu/assert";
import type { FakeUpstreamFaults, ServiceBench } from "../../src/fakes/index.js";
import type { NotRunOutcome } from "../../src/outcomes/index.js";
import { OutcomeKind, RefusalReason } from "../../src/outcomes/index.js";
import type { ServiceRequest } from "../../src/services/index.js";
import { createPromptBench } from "../support/createPromptBench.js";
import { DispatchBench } from "../support/DispatchBench.js";
import { measureMostInWindow } from "../support/measureMostInWindow.js";

const SECOND_MS = 1_000;
const WINDOW_MS = 4_000;
const SERVICE_TIME_MS = 40;
/** Time after the first response with the limit from which the limit is in force, in milliseconds. */
const IN_FORCE_MS = 500;
const LIMITED = "u0";
const ORDER: Partial<ServiceRequest> = { route: "orders", isIdempotent: false, timeoutMs: 1_800 };
const LOOKUP: Partial<ServiceRequest> = { route: "lookups", timeoutMs: 1_800 };

const test = suite("an upstream's request rate limit");

for (const requestRate of [0.25, 1, 2.5, 10]) {
    for (const request of [ORDER, LOOKUP]) {
        test(`a limit of ${requestRate} a second is kept and used, ${request.route}`, async () => {
            const bench = createPromptBench(5);
            bench.upstreams.applyFaults(LIMITED, { requestRate });
            await bench.runLoad(60, 20 * SECOND_MS, request);
            const times = getTimes(bench).filter(time => time > IN_FORCE_MS);
            assert.ok(times.length >= 0.6 * requestRate * 19, `${times.length} requests in 20 s`);
            assert.ok(measureMostInWindow(times, WINDOW_MS) <= 1 + requestRate * 4.5);
        });
    }
}

for (
    const { name, faults } of [
        { name: "fails", faults: { errorRate: 0.5 } },
        { name: "fails without naming its limit", faults: { errorRate: 0.5, hasSilentFailures: true } },
        { name: "leaves lookups unanswered", faults: { hangRate: 0.3 } },
        { name: "cuts its answers", faults: { cutRate: 0.5 } },
        { name: "loses connections", faults: { lossRate: 0.5 } },
        { name: "sheds", faults: { isShedding: true } },
        { name: "is slow", faults: { slowFactor: 20 } },
    ]
) {
    test(`trials, retries and returns of an upstream that ${name} keep to its limit`, async () => {
        const bench = createPromptBench(5);
        bench.upstreams.applyFaults(LIMITED, { requestRate: 1 });
        await bench.runLoad(30, 2 * SECOND_MS, LOOKUP);
        for (const change of [faults, {}, faults, {}]) {
            bench.upstreams.applyFaults(LIMITED, { requestRate: 1, ...change });
            await bench.runLoad(30, 10 * SECOND_MS, LOOKUP);
            await bench.runLoad(30, 10 * SECOND_MS, ORDER);
        }
        const times = getTimes(bench).filter(time => time > IN_FORCE_MS);
        assert.ok(measureMostInWindow(times, WINDOW_MS) <= 6, `${measureMostInWindow(times, WINDOW_MS)} in 4 s`);
    });
}

test("a limit of a quarter a second lets the next request through after four seconds", async () => {
    const bench = createPromptBench(1);
    bench.upstreams.applyFaults(LIMITED, { requestRate: 0.25 });
    await bench.runLoad(20, SECOND_MS, ORDER);
    const before = getTimes(bench).at(-1)!;
    const waiting = bench.send({ ...ORDER, timeoutMs: 10_000 });
    await bench.clock.run(10_000);
    assert.is((await waiting).outcome.kind, OutcomeKind.Done);
    const waitedMs = getTimes(bench).at(-1)! - before;
    assert.ok(waitedMs > 3_000 && waitedMs < 5_100, `${waitedMs} ms`);
});

test("a limit that rises, falls or is no longer named applies from the next response on", async () => {
    const bench = createPromptBench(5);
    const measureRate = async (faults: FakeUpstreamFaults): Promise<number> => {
        bench.upstreams.applyFaults(LIMITED, faults);
        await bench.runLoad(60, 5 * SECOND_MS, LOOKUP);
        const before = getTimes(bench).length;
        await bench.runLoad(60, 10 * SECOND_MS, LOOKUP);
        return (getTimes(bench).length - before) / 10;
    };
    const unlimited = await measureRate({});
    assert.ok(unlimited > 8);
    for (const requestRate of [1, 4, 0.5]) {
        const rate = await measureRate({ requestRate });
        assert.ok(rate >= 0.6 * requestRate && rate <= 1.1 * requestRate, `${rate} a second of ${requestRate}`);
    }
    assert.ok(await measureRate({ requestRate: NaN }) < 0.6, "a limit that can't be read leaves the one before");
    assert.ok(await measureRate({ errorRate: 1 }) < 0.6, "a failure does not end a limit");
    assert.ok(await measureRate({}) > 0.8 * unlimited);
});

test("a limit of zero leaves one request in twenty seconds, which finds out when the limit ends", async () => {
    const bench = createPromptBench(5);
    bench.upstreams.applyFaults(LIMITED, { requestRate: 0 });
    await bench.runLoad(60, 2 * SECOND_MS, LOOKUP);
    const before = getTimes(bench).length;
    await bench.runLoad(30, 60 * SECOND_MS, LOOKUP);
    assert.is(getTimes(bench).length - before, 3);
    bench.upstreams.applyFaults(LIMITED, {});
    await bench.runLoad(30, 30 * SECOND_MS, LOOKUP);
    assert.ok(getTimes(bench).length - before > 20);
});

test("orders beyond the limits of all upstreams are refused at once with the time at which one may be sent", async () => {
    const bench = createPromptBench(2);
    [LIMITED, "u1"].forEach(name => bench.upstreams.applyFaults(name, { requestRate: 0.5 }));
    await bench.runLoad(30, 4 * SECOND_MS, ORDER);
    const start = bench.clock.getTime();
    const refusals: NotRunOutcome[] = [];
    const sent = Array.from({ length: 20 }, async () => {
        const { outcome } = await bench.send({ ...ORDER, timeoutMs: 1_000 });
        if (outcome.kind === OutcomeKind.NotRun) {
            assert.is(bench.clock.getTime(), start);
            refusals.push(outcome);
        }
    });
    await bench.clock.run(5_000);
    await Promise.all(sent);
    assert.ok(refusals.length >= 15);
    assert.ok(refusals.every(({ reason }) => reason === RefusalReason.Overloaded));
    assert.ok(refusals.every(({ retryAfterMs }) => retryAfterMs! > 500 && retryAfterMs! <= 4_100));
});

test("requests that are above one upstream's limit go to the others, and none is refused", async () => {
    const bench = createPromptBench(3);
    bench.upstreams.applyFaults(LIMITED, { requestRate: 1 });
    const answers = await bench.runLoad(40, 10 * SECOND_MS, ORDER);
    assert.ok(answers.every(({ outcome }) => outcome.kind === OutcomeKind.Done));
});

test("an upstream below its limit is neither taken for silent nor for slow", async () => {
    const bench = createPromptBench(5);
    bench.upstreams.applyFaults(LIMITED, { requestRate: 0.25 });
    await bench.runLoad(40, 40 * SECOND_MS, ORDER);
    assert.ok(bench.getStates().every(state => state === "healthy"), bench.getStates().join());
});

test("an upstream that was removed and returns as the same incarnation keeps its limit, a new one has none", async () => {
    const bench = createPromptBench(3);
    const applyIncarnation = (incarnation: string): void =>
        bench.apply({ upstreams: bench.service.upstreams.map(upstream => ({ ...upstream, incarnation })) });
    applyIncarnation("1");
    bench.upstreams.applyFaults(LIMITED, { requestRate: 1 });
    await bench.runLoad(40, 4 * SECOND_MS, ORDER);
    const { upstreams } = bench.service;
    bench.apply({ upstreams: upstreams.slice(1) });
    bench.upstreams.applyFaults(LIMITED, {});
    await bench.runLoad(40, 2 * SECOND_MS, ORDER);
    bench.apply({ upstreams });
    const before = getTimes(bench).length;
    await bench.runLoad(40, 900, ORDER);
    assert.ok(getTimes(bench).length - before <= 1);
    bench.upstreams.applyFaults(LIMITED, { requestRate: 1 });
    await bench.runLoad(40, 4 * SECOND_MS, ORDER);
    applyIncarnation("2");
    bench.upstreams.applyFaults(LIMITED, {});
    const restarted = getTimes(bench).length;
    await bench.runLoad(40, 2 * SECOND_MS, ORDER);
    assert.ok(getTimes(bench).length - restarted > 4);
});

test("hosts that send to an upstream at once, cut off from one another, keep to its limit together", async () => {
    const bench = new DispatchBench({ hosts: 9, serviceTimeMs: SERVICE_TIME_MS });
    const limited = "zone-a-0";
    const requestRate = 4;
    bench.upstreams.applyFaults(limited, { requestRate });
    const runLoad = async (durationMs: number): Promise<void> => {
        const end = bench.clock.getTime() + durationMs;
        for (let index = 0; bench.clock.getTime() < end; index++) {
            void bench.run(index % bench.hosts.length, 2, false);
            await bench.clock.run(5);
        }
    };
    await runLoad(6 * SECOND_MS);
    const addresses = bench.hosts.map(({ membership }) => membership.getSelf().peerAddress);
    addresses.forEach(from => addresses.forEach(to => bench.network.closeDirection(from, to)));
    const cutTime = bench.clock.getTime();
    await runLoad(15 * SECOND_MS);
    const times = bench.upstreams.records.filter(({ upstream }) => upstream === limited).map(({ time }) => time);
    const counted = times.filter(time => time > IN_FORCE_MS);
    assert.ok(counted.filter(time => time > cutTime + SECOND_MS).length >= 30, "the upstream is used during the cut");
    const most = measureMostInWindow(counted, WINDOW_MS);
    assert.ok(most <= 1.5 * requestRate * 4 + 5, `${most} requests in ${WINDOW_MS} ms`);
});

test.run();

function getTimes(bench: ServiceBench): number[] {
    return bench.upstreams.records.filter(({ upstream }) => upstream === LIMITED).map(({ time }) => time);
}
