import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { Configuration } from "../../src/configuration/index.js";
import { ServiceBench } from "../../src/fakes/index.js";
import { OutcomeKind, RefusalReason } from "../../src/outcomes/index.js";

const ORDER_MS = 1_000;
const ORDER = { isIdempotent: false, timeoutMs: 30_000, route: "orders" } as const;
/** Orders that are answered before the stop, so that the host knows how long they take. */
const KNOWN_ORDERS = 30;

/** Orders that waited for a slot when a stop began were passed on late and cut at its end without an answer. */
test("a queued order that could no longer end before a stopping host aborts it is refused as not run", async () => {
    const bench = await createOrderBench(1);
    const [running, queued] = [bench.send(ORDER), bench.send({ ...ORDER, requestId: "queued" })];
    await bench.clock.run(100);
    const stopTime = bench.clock.getTime();
    bench.host.leave(stopTime + 1.5 * ORDER_MS);
    const { outcome } = await runUntilEnd(bench, queued);
    assert.ok(outcome.kind === OutcomeKind.NotRun && outcome.reason === RefusalReason.HostStopping);
    assert.ok(bench.clock.getTime() <= stopTime + 0.5 * ORDER_MS);
    assert.is((await runUntilEnd(bench, running)).outcome.kind, OutcomeKind.Done);
    assert.not.ok(bench.upstreams.records.some(({ requestId }) => requestId === "queued"));
});

// Guards against orders that a stopping host puts into a queue though it knows on their arrival that they can't end.
test("an order that can't end before a stopping host aborts it doesn't enter the queue", async () => {
    const bench = await createOrderBench(1);
    await bench.clock.run(60_000);
    const stopTime = bench.clock.getTime();
    bench.host.leave(stopTime + 0.4 * ORDER_MS);
    const { outcome } = await runUntilEnd(bench, bench.send(ORDER));
    assert.ok(outcome.kind === OutcomeKind.NotRun && outcome.reason === RefusalReason.HostStopping);
    assert.equal(bench.host.getLoads().map(({ requests, unserved }) => ({ requests, unserved })), [
        { requests: 0, unserved: 0 },
    ]);
});

test("a stopping host passes no order on that would not end before it aborts it, whatever waits", async () => {
    const property = fc.asyncProperty(
        fc.array(fc.nat(4_000), { minLength: 1, maxLength: 40 }),
        fc.integer({ min: 500, max: 3_500 }),
        fc.integer({ min: 1, max: 3 }),
        async (arrivals, graceMs, slots) => {
            const bench = await createOrderBench(slots);
            const answers = arrivals.map(async atMs => {
                await bench.clock.wait(atMs);
                return await bench.send(ORDER);
            });
            await bench.clock.run(1_000);
            const leaveTime = bench.clock.getTime();
            const endTime = leaveTime + graceMs;
            bench.host.leave(endTime);
            await bench.clock.run(graceMs);
            const late = bench.upstreams.records.filter(({ time }) => time > leaveTime && time + ORDER_MS > endTime);
            assert.equal(late, []);
            await bench.clock.run(60_000);
            assert.ok((await Promise.all(answers)).every(({ outcome }) => outcome.kind !== OutcomeKind.Unknown));
        },
    );
    await fc.assert(property, { seed: 7, numRuns: 40 });
});

test("a stopping host waits for the requests that run at a service which a configuration has removed since", async () => {
    const bench = await createOrderBench(1);
    const running = bench.send(ORDER);
    await bench.clock.run(100);
    bench.host.apply({ getService: () => undefined, getAccount: () => undefined } as unknown as Configuration);
    let isDrained = false;
    const drained = bench.host.drain().then(() => (isDrained = true));
    await bench.clock.run(100);
    assert.not.ok(isDrained);
    assert.is((await runUntilEnd(bench, running)).outcome.kind, OutcomeKind.Done);
    await runUntilEnd(bench, drained);
});

test.run();

async function createOrderBench(slots: number): Promise<ServiceBench> {
    const fakes = { serviceTimeMs: ORDER_MS };
    const bench = new ServiceBench({ upstreams: 1, slots, service: { queuePerSlot: 100 }, fakes });
    for (let index = 0; index < KNOWN_ORDERS; index++) {
        await runUntilEnd(bench, bench.send(ORDER));
    }
    return bench;
}

async function runUntilEnd<T>(bench: ServiceBench, answer: Promise<T>): Promise<T> {
    let isEnded = false;
    void answer.then(() => (isEnded = true));
    while (!isEnded) {
        await bench.clock.run(10);
    }
    return await answer;
}
