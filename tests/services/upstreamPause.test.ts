import { suite } from "uvu";
import * as assert from "uvu/assert";
import type { FakeUpstreamFaults, ServiceBench } from "../../src/fakes/index.js";
import type { NotRunOutcome } from "../../src/outcomes/index.js";
import { OutcomeKind } from "../../src/outcomes/index.js";
import { createPromptBench } from "../support/createPromptBench.js";

const SECOND_MS = 1_000;
const RETRY_AFTER_MS = 8_000;
const REFUSING = "u0";
/** Requests in progress when the upstream refuses the first may be refused too. */
const OVERLAP_MS = 500;
const YEAR_MS = 31_536_000_000;

const test = suite("an upstream that names a time to return");

const FAULTS: readonly { readonly name: string; readonly faults: FakeUpstreamFaults; }[] = [
    { name: "with proof", faults: { isShedding: true, retryAfterMs: RETRY_AFTER_MS } },
    { name: "without proof", faults: { isUnavailable: true, retryAfterMs: RETRY_AFTER_MS } },
];

for (const { name, faults } of FAULTS) {
    for (const isIdempotent of [true, false]) {
        test(`gets nothing until then, ${name} that it did not run, ${isIdempotent ? "lookups" : "orders"}`, async () => {
            const bench = createPromptBench(3);
            await bench.runLoad(20, SECOND_MS, { isIdempotent });
            bench.upstreams.applyFaults(REFUSING, faults);
            const before = bench.clock.getTime();
            await bench.runLoad(40, 30 * SECOND_MS, { isIdempotent });
            const times = getTimes(bench).filter(time => time >= before);
            for (const first of times) {
                const within = times.filter(time => time > first + OVERLAP_MS && time < first + RETRY_AFTER_MS);
                const isStart = times.every(time => time >= first || time < first - RETRY_AFTER_MS);
                assert.ok(!isStart || within.length <= 2, `${within.length} requests after ${first}`);
            }
            assert.ok(times.length > 0);
        });
    }
}

test("a time of a year is cut to five minutes", async () => {
    const bench = createPromptBench(3);
    bench.upstreams.applyFaults(REFUSING, { isShedding: true, retryAfterMs: YEAR_MS });
    await bench.runLoad(20, 2 * SECOND_MS);
    bench.upstreams.applyFaults(REFUSING, {});
    const before = getTimes(bench).length;
    await bench.runLoad(5, 280 * SECOND_MS);
    assert.is(getTimes(bench).length, before);
    await bench.runLoad(5, 60 * SECOND_MS);
    assert.ok(getTimes(bench).length > before);
});

test("a shorter time that is named later does not end a longer one", async () => {
    const bench = createPromptBench(1, 2);
    bench.upstreams.applyFaults(REFUSING, { isShedding: true, retryAfterMs: RETRY_AFTER_MS });
    const first = bench.send({ timeoutMs: 500 });
    await bench.clock.run(0.5);
    const second = bench.send({ timeoutMs: 500 });
    await bench.clock.run(0.7);
    bench.upstreams.applyFaults(REFUSING, { isShedding: true, retryAfterMs: 100 });
    await bench.clock.run(SECOND_MS);
    await Promise.all([first, second]);
    bench.upstreams.applyFaults(REFUSING, {});
    const before = getTimes(bench).length;
    await bench.runLoad(10, 3 * SECOND_MS, { timeoutMs: 500 });
    assert.is(getTimes(bench).length, before);
});

test("while all upstreams want no requests, callers are refused at once with times that are spread", async () => {
    const bench = createPromptBench(2);
    [REFUSING, "u1"].forEach(name =>
        bench.upstreams.applyFaults(name, { isShedding: true, retryAfterMs: RETRY_AFTER_MS })
    );
    await bench.runLoad(20, SECOND_MS, { isIdempotent: false });
    const start = bench.clock.getTime();
    const refusals: NotRunOutcome[] = [];
    const sent = Array.from({ length: 20 }, async () => {
        const { outcome } = await bench.send({ isIdempotent: false });
        assert.is(bench.clock.getTime(), start);
        refusals.push(outcome as NotRunOutcome);
    });
    await bench.clock.run(1);
    await Promise.all(sent);
    const times = refusals.map(({ kind, retryAfterMs }) => kind === OutcomeKind.NotRun ? retryAfterMs! : 0);
    assert.ok(times.every(time => time > 4_000 && time <= 1.25 * RETRY_AFTER_MS), times.join());
    assert.ok(new Set(times).size >= 15, times.join());
});

test("a request that can wait until an upstream wants requests again is served", async () => {
    const bench = createPromptBench(1);
    bench.upstreams.applyFaults(REFUSING, { isShedding: true, retryAfterMs: SECOND_MS });
    await bench.runLoad(5, 500, { isIdempotent: false });
    bench.upstreams.applyFaults(REFUSING, { isShedding: true, retryAfterMs: SECOND_MS });
    const refused = bench.send({ isIdempotent: false });
    await bench.clock.run(1);
    await refused;
    bench.upstreams.applyFaults(REFUSING, {});
    const waiting = bench.send({ isIdempotent: false, timeoutMs: 3_000 });
    await bench.clock.run(4_000);
    assert.is((await waiting).outcome.kind, OutcomeKind.Done);
});

test.run();

function getTimes(bench: ServiceBench): number[] {
    return bench.upstreams.records.filter(({ upstream }) => upstream === REFUSING).map(({ time }) => time);
}
