import { test } from "uvu";
import * as assert from "uvu/assert";
import { ServiceBench } from "../../src/fakes/index.js";
import { Decision } from "../../src/logging/index.js";
import { OutcomeKind } from "../../src/outcomes/index.js";
import { EjectionPolicy } from "../../src/services/index.js";

const SEEDS = [1, 2, 3, 4, 5];
const HOUR_MS = 3_600_000;
const HEALTHY_RATE = 8;

test("an upstream that fails half of its requests is ejected in at most a third of the baseline policy's time", async () => {
    let sequentialMs = 0;
    let baselineMs = 0;
    for (const seed of SEEDS) {
        sequentialMs += await measureDetection(seed, EjectionPolicy.Sequential);
        baselineMs += await measureDetection(seed, EjectionPolicy.Baseline);
    }
    assert.ok(sequentialMs <= baselineMs / 3, `${sequentialMs} ms against ${baselineMs} ms`);
});

test("an upstream that is slow relative to its siblings is ejected", async () => {
    const bench = new ServiceBench();
    await bench.runLoad(200, 3_000);
    bench.upstreams.applyFaults("u1", { slowFactor: 8 });
    await bench.runLoad(200, 5_000);
    assert.equal(findEjections(bench).map(ejection => ejection.upstream), ["u1"]);
    assert.match(findEjections(bench)[0]!.reason, "slow");
});

test("cut answers and lost connections count as failures", async () => {
    const bench = new ServiceBench();
    bench.upstreams.applyFaults("u0", { cutRate: 0.6 });
    bench.upstreams.applyFaults("u1", { lossRate: 0.6 });
    await bench.runLoad(200, 4_000);
    const ejected = findEjections(bench).map(ejection => ejection.upstream);
    assert.equal(new Set(ejected), new Set(["u0", "u1"]));
});

test("shed requests do not count as failures", async () => {
    const bench = new ServiceBench();
    bench.upstreams.applyFaults("u0", { isShedding: true });
    await bench.runLoad(200, 4_000);
    assert.equal(new Set(bench.getStates()), new Set(["healthy"]));
});

test("a flapping upstream is ejected for longer each time", async () => {
    const bench = new ServiceBench();
    for (let round = 0; round < 12; round++) {
        bench.upstreams.applyFaults("u3", { errorRate: round % 2 === 0 ? 0.8 : 0 });
        await bench.runLoad(100, 10_000);
    }
    const backOffs = findEjections(bench).map(ejection => Number(ejection.figures?.backOffMs));
    assert.ok(backOffs.length >= 3);
    assert.ok(backOffs.every((backOff, index) => index === 0 || backOff > 1.5 * backOffs[index - 1]!));
});

test("an upstream on probation gets only lookups, one at a time, and no order", async () => {
    const bench = new ServiceBench();
    bench.upstreams.applyFaults("u2", { errorRate: 1 });
    await bench.runLoad(200, 2_000);
    const ejectedAt = bench.clock.getTime();
    const orders = bench.sendLoad(50, 30_000, { isIdempotent: false, method: "POST" });
    const lookups = bench.sendLoad(5, 30_000);
    await bench.clock.run(32_000);
    await Promise.all([orders, lookups]);
    const trials = bench.upstreams.records.filter(record => record.upstream === "u2" && record.time > ejectedAt);
    assert.ok(trials.length > 0 && trials.length <= 4);
    assert.ok(trials.every(trial => trial.isIdempotent && trial.running === 0));
});

test("a cold upstream gets few requests until its answers come in time", async () => {
    const bench = new ServiceBench({ fakes: { restartMs: 3_000, coldStartMs: 8_000, coldFactor: 10 } });
    await bench.runLoad(300, 3_000);
    bench.upstreams.stopUpstream("u4");
    await bench.runLoad(300, 40_000);
    assert.equal(new Set(bench.getStates()), new Set(["healthy"]));
    const slowEjections = findEjections(bench).filter(ejection => ejection.reason.includes("slow"));
    assert.equal(slowEjections, []);
});

test("an hour of healthy load with one failure in a hundred ejects no upstream", async () => {
    const bench = new ServiceBench({ fakes: { healthyErrorRate: 0.01 } });
    bench.upstreams.isRecording = false;
    await bench.runLoad(HEALTHY_RATE, HOUR_MS);
    assert.equal(findEjections(bench), []);
});

test("the floor's share of upstreams stays in service while all fail one after another", async () => {
    for (const seed of SEEDS) {
        const bench = new ServiceBench({ seed, service: { floor: 0.5 } });
        for (let index = 0; index < 5; index++) {
            bench.clock.schedule(
                3_000 + index * 1_000,
                () => bench.upstreams.applyFaults(`u${index}`, { errorRate: 1 }),
            );
        }
        let fewest = Number.POSITIVE_INFINITY;
        for (let check = 0; check < 200; check++) {
            bench.clock.schedule(check * 100, () => fewest = Math.min(fewest, measureInService(bench)));
        }
        await bench.runLoad(200, 20_000);
        assert.is(fewest, 3, `in service of 5 with a floor of one half, seed ${seed}`);
    }
});

test("raising the configured floor restores ejected upstreams", async () => {
    const bench = new ServiceBench({ service: { floor: 0.2 } });
    bench.upstreams.applyFaults("u0", { errorRate: 1 });
    bench.upstreams.applyFaults("u1", { errorRate: 1 });
    await bench.runLoad(200, 2_000);
    assert.is(measureInService(bench), 3);
    bench.apply({ floor: 0.8 });
    assert.is(measureInService(bench), 4);
});

test("a single upstream, ejected under a floor of 0, is restored by its trial lookups", async () => {
    const bench = new ServiceBench({ upstreams: 1, service: { floor: 0 } });
    bench.upstreams.applyFaults("u0", { errorRate: 1 });
    await bench.runLoad(50, 2_000);
    assert.equal(bench.getStates(), ["ejected"]);
    bench.upstreams.applyFaults("u0", {});
    await bench.runLoad(50, 20_000);
    assert.equal(bench.getStates(), ["healthy"]);
});

test("queued requests are refused as not run at once when their last upstream is drained", async () => {
    const bench = new ServiceBench({ upstreams: 1, slots: 1, fakes: { serviceTimeMs: 500 } });
    const running = bench.send();
    const waiting = bench.send();
    bench.apply({ upstreams: bench.service.upstreams.map(upstream => ({ ...upstream, draining: true })) });
    assert.is((await waiting).outcome.kind, OutcomeKind.NotRun);
    await bench.clock.run(1_000);
    assert.is((await running).outcome.kind, OutcomeKind.Done);
});

test("a draining upstream gets no new requests and finishes its running ones", async () => {
    const bench = new ServiceBench({ fakes: { serviceTimeMs: 200 } });
    const load = bench.runLoad(100, 2_000);
    bench.clock.schedule(1_000, () => {
        const upstreams = bench.service.upstreams.map(upstream => ({ ...upstream, draining: upstream.name === "u1" }));
        bench.apply({ upstreams });
    });
    const answers = await load;
    assert.ok(answers.every(answer => answer.outcome.kind === OutcomeKind.Done));
    const work = bench.upstreams.records.filter(record => record.upstream === "u1");
    assert.ok(work.length > 0 && work.every(record => record.time <= 1_000));
});

test("crashes of a request that is quarantined afterwards do not count against its upstream", async () => {
    const bench = new ServiceBench({ fakes: { crashMark: "boom", restartMs: 300 }, detection: { ejectThreshold: 3 } });
    await bench.runLoad(300, 2_000);
    const crash = bench.send({ requestId: "bad", path: "/boom" });
    await bench.clock.run(100);
    const answer = await crash;
    assert.ok(answer.isCrashSuspected);
    const before = bench.host.getStatus().find(status => status.upstream === answer.upstream)!;
    assert.ok(before.errorEvidence > 0);
    bench.host.removeCrash("bad");
    const after = bench.host.getStatus().find(status => status.upstream === answer.upstream)!;
    assert.is(after.errorEvidence, 0);
    assert.ok(after.state !== "ejected");
});

test.run();

async function measureDetection(seed: number, policy: EjectionPolicy): Promise<number> {
    const bench = new ServiceBench({ seed, policy });
    await bench.runLoad(60, 5_000);
    const start = bench.clock.getWallTime();
    bench.upstreams.applyFaults("u2", { errorRate: 0.5 });
    await bench.runLoad(60, 60_000);
    const ejection = findEjections(bench).find(decision => decision.upstream === "u2");
    return (ejection?.time ?? bench.clock.getWallTime()) - start;
}

function findEjections(bench: ServiceBench): ReturnType<ServiceBench["decisions"]["find"]> {
    return bench.decisions.find({}).filter(record => record.decision === Decision.Ejected);
}

function measureInService(bench: ServiceBench): number {
    return bench.getStates().filter(state => state !== "ejected" && state !== "probation").length;
}
