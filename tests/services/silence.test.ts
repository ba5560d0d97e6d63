import { suite } from "uvu";
import * as assert from "uvu/assert";
import { ServiceBench } from "../../src/fakes/index.js";
import type { FakeUpstreamFaults, ServiceBenchOptions } from "../../src/fakes/index.js";
import { GATEWAY_SERVICE_DEFAULTS } from "../../src/gateway/index.js";
import { Decision } from "../../src/logging/index.js";
import type { TimedDecision } from "../../src/logging/index.js";
import { OutcomeKind, RefusalReason } from "../../src/outcomes/index.js";
import { EjectionPolicy } from "../../src/services/index.js";
import type { ServiceAnswer, ServiceRequest } from "../../src/services/index.js";

/** The load: orders of half a second with four seconds to the deadline, when a link to upstreams is cut without a sign. */
const SERVICE_MS = 480;
const UPSTREAMS = 5;
const SLOTS = 6;
const ORDERS_PER_SECOND = 30;
const ORDER: Partial<ServiceRequest> = { isIdempotent: false, timeoutMs: 4_000, route: "orders" };
const WARM_UP_MS = 10_000;
const SILENT: FakeUpstreamFaults = { hangRate: 1 };

const test = suite("silent upstreams");

test("an upstream that falls silent under load is out of work long before the first deadline", async () => {
    const bench = createBench();
    const load = bench.sendLoad(ORDERS_PER_SECOND, 20_000, ORDER);
    await bench.clock.run(WARM_UP_MS);
    bench.upstreams.applyFaults("u1", SILENT);
    await bench.clock.run(2_000);
    assert.is(bench.getStates()[1], "ejected");
    const sent = bench.upstreams.records.filter(record => record.upstream === "u1" && record.time > WARM_UP_MS);
    assert.ok(sent.length <= SLOTS, `${sent.length} orders sent to it`);
    await bench.clock.run(20_000);
    await load;
});

test("a slow upstream and lone slow requests make nobody silent", async () => {
    const bench = createBench({ fakes: { serviceTimeMs: SERVICE_MS, tailRate: 0.02 } });
    const load = bench.sendLoad(8, 120_000, ORDER);
    await bench.clock.run(WARM_UP_MS);
    bench.upstreams.applyFaults("u1", { slowFactor: 2 });
    await bench.clock.run(120_000);
    await load;
    assert.equal(bench.decisions.find({}).filter(item => /silent/.test(item.reason)), []);
});

test("a service host that is cut from its upstreams leaves the pool to the next one, and takes it back", async () => {
    const bench = createBench({ isFirstOfTwo: true, lateAnswerMs: 1_000 });
    const load = bench.sendLoad(ORDERS_PER_SECOND, 40_000, ORDER);
    await bench.clock.run(WARM_UP_MS);
    ["u1", "u2", "u3"].forEach(name => bench.upstreams.applyFaults(name, SILENT));
    await bench.clock.run(3_000);
    assert.ok(await isCutOff(bench), "it refuses");
    assert.is(findHandOvers(bench).length, 1);
    const sent = bench.upstreams.records.filter(record => record.time > WARM_UP_MS + 2_000).length;
    assert.ok(sent < 2 * SLOTS, `${sent} orders sent meanwhile`);
    ["u1", "u2", "u3"].forEach(name => bench.upstreams.applyFaults(name, {}));
    await bench.clock.run(12_000);
    assert.is(await isCutOff(bench), false, "it serves again");
    await bench.clock.run(15_000);
    assert.equal(
        new Set(bench.getStates()),
        new Set(["healthy"]),
        "no slot is still held by a request without an answer",
    );
    await bench.clock.run(5_000);
    await load;
});

test("without another service host, or with one silent upstream, the pool stays", async () => {
    for (const [isFirstOfTwo, names] of [[false, ["u1", "u2", "u3"]], [true, ["u1"]]] as const) {
        const bench = createBench({ isFirstOfTwo });
        const load = bench.sendLoad(ORDERS_PER_SECOND, 20_000, ORDER);
        await bench.clock.run(WARM_UP_MS);
        names.forEach(name => bench.upstreams.applyFaults(name, SILENT));
        await bench.clock.run(20_000);
        await load;
        assert.is(findHandOvers(bench).length, 0);
    }
});

test("a pool whose policy does not look for silence is never left to another host", async () => {
    const bench = createBench({ isFirstOfTwo: true, policy: EjectionPolicy.Sequential });
    const load = bench.sendLoad(ORDERS_PER_SECOND, 6_000, ORDER);
    await bench.clock.run(2_000);
    ["u1", "u2", "u3", "u4"].forEach(name => bench.upstreams.applyFaults(name, { isDown: true }));
    ["u1", "u2", "u3", "u4"].forEach(name => bench.upstreams.stopUpstream(name));
    await bench.clock.run(20_000);
    await load;
    assert.is(findHandOvers(bench).length, 0);
});

test.run();

function createBench(options: ServiceBenchOptions = {}): ServiceBench {
    return new ServiceBench({
        upstreams: UPSTREAMS,
        slots: SLOTS,
        policy: EjectionPolicy.Prompt,
        fakes: { serviceTimeMs: SERVICE_MS },
        detection: GATEWAY_SERVICE_DEFAULTS.detection,
        service: { floor: 0.7, queuePerSlot: GATEWAY_SERVICE_DEFAULTS.queuePerSlot },
        ...options,
    });
}

function findHandOvers(bench: ServiceBench): readonly TimedDecision[] {
    return bench.decisions.find({}).filter(item => item.decision === Decision.HandedOver);
}

async function isCutOff(bench: ServiceBench): Promise<boolean> {
    const answer: Promise<ServiceAnswer> = bench.send(ORDER);
    await bench.clock.run(5_000);
    const { outcome } = await answer;
    return outcome.kind === OutcomeKind.NotRun && outcome.reason === RefusalReason.HostCutOff;
}
