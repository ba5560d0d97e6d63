import { suite } from "uvu";
import * as assert from "uvu/assert";
import type { ServiceBench } from "../../src/fakes/index.js";
import { OutcomeKind } from "../../src/outcomes/index.js";
import { createPromptBench } from "../support/createPromptBench.js";
import { DispatchBench } from "../support/DispatchBench.js";

const SECOND_MS = 1_000;
const SERVICE_TIME_MS = 40;
const LEAVING = "u0";

const test = suite("an upstream that says that it leaves");

for (const isIdempotent of [true, false]) {
    test(`gets no request after its first such response, and none is refused, ${isIdempotent ? "lookups" : "orders"}`, async () => {
        const bench = createPromptBench(3);
        await bench.runLoad(40, SECOND_MS, { isIdempotent });
        bench.upstreams.applyFaults(LEAVING, { isLeaving: true });
        const before = bench.clock.getTime();
        const answers = await bench.runLoad(40, 10 * SECOND_MS, { isIdempotent });
        const times = getTimes(bench).filter(time => time >= before);
        assert.ok(times.length > 0 && times.every(time => time < times[0]! + 3 * SERVICE_TIME_MS));
        assert.ok(answers.every(({ outcome }) => outcome.kind === OutcomeKind.Done));
        assert.is(bench.getStates()[0], "draining");
    });
}

test("counts neither as free slots nor as capacity for the floor", async () => {
    const bench = createPromptBench(3);
    bench.upstreams.applyFaults(LEAVING, { isLeaving: true });
    await bench.runLoad(40, SECOND_MS);
    const [load] = bench.host.getLoads();
    assert.equal([load!.upstreams, load!.freeSlots], [2, 12]);
});

test("stays out of use while its registration says ready, and a new incarnation is used", async () => {
    const bench = createPromptBench(3);
    const applyIncarnation = (incarnation: string): void =>
        bench.apply({ upstreams: bench.service.upstreams.map(upstream => ({ ...upstream, incarnation })) });
    applyIncarnation("1");
    bench.upstreams.applyFaults(LEAVING, { isLeaving: true });
    await bench.runLoad(40, SECOND_MS);
    bench.upstreams.applyFaults(LEAVING, {});
    const before = getTimes(bench).length;
    applyIncarnation("1");
    await bench.runLoad(40, 100 * SECOND_MS);
    assert.is(getTimes(bench).length, before);
    applyIncarnation("2");
    await bench.runLoad(40, SECOND_MS);
    assert.ok(getTimes(bench).length > before);
});

test("is used again after a minute if its restarts can't be detected", async () => {
    const bench = createPromptBench(3);
    bench.upstreams.applyFaults(LEAVING, { isLeaving: true });
    await bench.runLoad(40, SECOND_MS);
    bench.upstreams.applyFaults(LEAVING, {});
    const before = getTimes(bench).length;
    await bench.runLoad(40, 50 * SECOND_MS);
    assert.is(getTimes(bench).length, before);
    await bench.runLoad(40, 20 * SECOND_MS);
    assert.ok(getTimes(bench).length > before);
});

test("gets nothing from the host that has its part next, which has heard it in answers of the first", async () => {
    const bench = new DispatchBench({ hosts: 6, serviceTimeMs: SERVICE_TIME_MS });
    const leaving = "zone-a-0";
    bench.upstreams.applyFaults(leaving, { isLeaving: true });
    const runLoad = async (durationMs: number): Promise<void> => {
        const end = bench.clock.getTime() + durationMs;
        for (let index = 0; bench.clock.getTime() < end; index++) {
            void bench.run(index % bench.hosts.length, 2, false);
            await bench.clock.run(5);
        }
    };
    await runLoad(3 * SECOND_MS);
    const addresses = bench.hosts.map(({ membership }) => membership.getSelf().peerAddress);
    addresses.forEach(from => addresses.forEach(to => bench.network.closeDirection(from, to)));
    const before = bench.upstreams.records.length;
    await runLoad(5 * SECOND_MS);
    const records = bench.upstreams.records.slice(before);
    assert.ok(records.length > 200);
    assert.is(records.filter(({ upstream }) => upstream === leaving).length, 0);
});

test.run();

function getTimes(bench: ServiceBench): number[] {
    return bench.upstreams.records.filter(({ upstream }) => upstream === LEAVING).map(({ time }) => time);
}
