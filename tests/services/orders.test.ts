import { test } from "uvu";
import * as assert from "uvu/assert";
import { ServiceBench } from "../../src/fakes/index.js";
import { OutcomeKind } from "../../src/outcomes/index.js";
import { PeerMethod } from "../../src/peers/index.js";
import type { FindOutcomeResult } from "../../src/services/index.js";
import { RequestState } from "../../src/services/index.js";

const ORDER = { requestId: "order", isIdempotent: false, method: "POST" };

test("an order whose caller leaves runs on and its answer is kept", async () => {
    const bench = new ServiceBench({ fakes: { serviceTimeMs: 200, answerBytes: 10 } });
    const controller = new AbortController();
    const order = bench.send(ORDER, controller.signal);
    await bench.clock.run(50);
    controller.abort();
    await bench.clock.run(1_000);
    await order;
    const found = await findOutcome(bench);
    assert.ok(found.state === RequestState.Finished && found.outcome.kind === OutcomeKind.Done);
    assert.is(Buffer.from(found.outcome.body!, "base64").length, 10);
    assert.is(bench.upstreams.records.length, 1);
});

test("a lookup whose caller leaves is given up at the upstream", async () => {
    const bench = new ServiceBench({ fakes: { serviceTimeMs: 200 } });
    const controller = new AbortController();
    const lookup = bench.send({}, controller.signal);
    await bench.clock.run(50);
    controller.abort();
    await bench.clock.run(0);
    await lookup;
    assert.is(bench.host.getStatus().reduce((sum, status) => sum + status.running, 0), 0);
});

test("an order's late answer is kept after its deadline, and the upstream is not told a longer one", async () => {
    const bench = new ServiceBench({ fakes: { serviceTimeMs: 400 } });
    const order = bench.send({ ...ORDER, timeoutMs: 100 });
    await bench.clock.run(100);
    assert.is((await order).outcome.kind, OutcomeKind.Unknown);
    assert.equal(await findOutcome(bench), { state: RequestState.Running });
    await bench.clock.run(1_000);
    assert.is((await findOutcome(bench)).state, RequestState.Finished);
    assert.ok(Number(bench.upstreams.records[0]!.headers["x-deadline-ms"]) <= 100);
});

test("the same order is never run twice here", async () => {
    const bench = new ServiceBench();
    const first = bench.send(ORDER);
    const second = await bench.send(ORDER);
    assert.is(second.outcome.kind, OutcomeKind.Unknown);
    await bench.clock.run(1_000);
    assert.is((await first).outcome.kind, OutcomeKind.Done);
    assert.is((await bench.send(ORDER)).outcome.kind, OutcomeKind.Done);
    assert.is(bench.upstreams.records.length, 1);
});

test("an order that was asked about before it came is refused when it comes", async () => {
    const bench = new ServiceBench();
    await bench.clock.run(10_000);
    assert.equal(await findOutcome(bench, 5_000), { state: RequestState.NeverSeen });
    assert.is((await bench.send(ORDER)).outcome.kind, OutcomeKind.NotRun);
    assert.is(bench.upstreams.records.length, 0);
});

test("nothing is claimed of an order that may be older than this host", async () => {
    const bench = new ServiceBench();
    await bench.clock.run(3_000);
    assert.equal(await findOutcome(bench, 5_000), { state: RequestState.Forgotten });
});

test("a drained host finishes what it has and refuses what comes as not run", async () => {
    const bench = new ServiceBench({ fakes: { answerTimeMs: 500 } });
    const running = bench.send();
    await bench.clock.run(100);
    let isDrained = false;
    const drain = bench.host.drain().then(() => isDrained = true);
    const refused = await bench.send();
    assert.is(refused.outcome.kind, OutcomeKind.NotRun);
    assert.not(isDrained);
    await bench.clock.run(1_000);
    assert.is((await running).outcome.kind, OutcomeKind.Done);
    await drain;
});

test.run();

function findOutcome(bench: ServiceBench, maxAgeMs = 0): Promise<FindOutcomeResult> {
    return bench.handlers.run(PeerMethod.FindOutcome, { requestId: "order", maxAgeMs });
}
