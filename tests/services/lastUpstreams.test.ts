import { suite } from "uvu";
import * as assert from "uvu/assert";
import { ServiceBench } from "../../src/fakes/index.js";
import { GATEWAY_SERVICE_DEFAULTS } from "../../src/gateway/index.js";
import { OutcomeKind } from "../../src/outcomes/index.js";
import { PeerMethod } from "../../src/peers/index.js";
import { EjectionPolicy } from "../../src/services/index.js";
import type { ServiceAnswer, ServiceRequest } from "../../src/services/index.js";

const ORDER: Partial<ServiceRequest> = { route: "orders", isIdempotent: false, timeoutMs: 4_000 };
const SERVICE_TIME_MS = 40;
const PER_SECOND = 8;
const SECOND_MS = 1_000;
/** A floor is judged over spans of two seconds. */
const FLOOR_SPAN_MS = 2_000;

const test = suite("last upstreams of a service");

for (const count of [1, 2]) {
    test(`the last of ${count} upstreams of a service serves on when its answers get slow`, async () => {
        const bench = createBench(count);
        await runOrders(bench, 5 * SECOND_MS);
        bench.service.upstreams.forEach(({ name }) => bench.upstreams.applyFaults(name, { slowFactor: 10 }));
        const answers = await runOrders(bench, 5 * SECOND_MS);
        assert.is(getRefusedCount(answers), 0, `of ${answers.length} orders were refused`);
    });

    test(`the last of ${count} upstreams of a service serves within two seconds of a failure`, async () => {
        const bench = createBench(count);
        await runOrders(bench, 5 * SECOND_MS);
        bench.service.upstreams.forEach(({ name }) => bench.upstreams.applyFaults(name, { errorRate: 1 }));
        await runOrders(bench, SECOND_MS);
        bench.service.upstreams.forEach(({ name }) => bench.upstreams.applyFaults(name, {}));
        await bench.clock.run(FLOOR_SPAN_MS);
        const answers = await runOrders(bench, 5 * SECOND_MS);
        assert.is(getRefusedCount(answers), 0, `of ${answers.length} orders were refused`);
    });
}

for (
    const { name, faults } of [{ name: "slow", faults: { slowFactor: 10 } }, {
        name: "failing",
        faults: { errorRate: 1 },
    }]
) {
    test(`an upstream that rests since it was ${name} is back within two seconds of all others' end`, async () => {
        const bench = createBench(2);
        await runOrders(bench, 5 * SECOND_MS);
        bench.upstreams.applyFaults("u1", faults);
        await runOrders(bench, 2 * SECOND_MS);
        assert.is.not(bench.getStates()[1], "healthy");
        bench.upstreams.applyFaults("u1", {});
        bench.apply({ upstreams: bench.service.upstreams.slice(1) });
        await bench.runLoad(PER_SECOND, FLOOR_SPAN_MS, ORDER);
        const answers = await runOrders(bench, 2 * SECOND_MS);
        assert.is(getRefusedCount(answers), 0, `of ${answers.length} orders were refused`);
    });
}

test("no order waits for the last upstream of a service once that is found to leave orders without an answer", async () => {
    const bench = createBench(1);
    await runOrders(bench, 5 * SECOND_MS);
    bench.upstreams.applyFaults("u0", { hangRate: 1 });
    await runOrders(bench, 5 * SECOND_MS);
    const answers = await runOrders(bench, SECOND_MS);
    assert.is(getRefusedCount(answers), answers.length);
});

for (const { freeSlots, isKept } of [{ freeSlots: 0, isKept: true }, { freeSlots: 6, isKept: false }]) {
    test(`a part keeps its last upstream at work only while no other part has room, ${freeSlots} slots free elsewhere`, async () => {
        const bench = createBench(1);
        bench.apply({
            upstreams: [...bench.service.upstreams, { ...bench.service.upstreams[0]!, name: "b", zone: "b" }],
        });
        await runOrders(bench, 5 * SECOND_MS);
        bench.upstreams.applyFaults("u0", { slowFactor: 10 });
        const load = bench.sendLoad(PER_SECOND, 5 * SECOND_MS, ORDER);
        for (let second = 0; second < 10; second++) {
            await reportOther(bench, freeSlots);
            await bench.clock.run(SECOND_MS);
        }
        assert.is(getRefusedCount(await load) === 0, isKept);
    });
}

test.run();

function createBench(upstreams: number): ServiceBench {
    return new ServiceBench({
        upstreams,
        policy: EjectionPolicy.Prompt,
        fakes: { serviceTimeMs: SERVICE_TIME_MS },
        detection: GATEWAY_SERVICE_DEFAULTS.detection,
        service: { floor: 0.7, queuePerSlot: GATEWAY_SERVICE_DEFAULTS.queuePerSlot },
    });
}

async function runOrders(bench: ServiceBench, durationMs: number): Promise<ServiceAnswer[]> {
    return await bench.runLoad(PER_SECOND, durationMs, ORDER);
}

async function reportOther(bench: ServiceBench, freeSlots: number): Promise<void> {
    const load = { freeSlots, queued: 0, ageMs: 0 };
    const served = { requests: 20, unserved: 0 };
    await bench.handlers.run(PeerMethod.ShareBaseline, { service: "orders", part: "b", upstreams: [], served, load });
}

function getRefusedCount(answers: readonly ServiceAnswer[]): number {
    return answers.filter(({ outcome }) => outcome.kind === OutcomeKind.NotRun).length;
}
