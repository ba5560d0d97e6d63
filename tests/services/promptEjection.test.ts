import { suite } from "uvu";
import * as assert from "uvu/assert";
import type { FakeUpstreamFaults } from "../../src/fakes/index.js";
import { ServiceBench } from "../../src/fakes/index.js";
import { GATEWAY_SERVICE_DEFAULTS } from "../../src/gateway/index.js";
import { OutcomeKind, RefusalReason } from "../../src/outcomes/index.js";
import { PeerMethod } from "../../src/peers/index.js";
import { EjectionPolicy } from "../../src/services/index.js";
import type { ServiceAnswer, ServiceRequest } from "../../src/services/index.js";

/** The load: orders of half a second on upstreams that fail in spells of 9 s, three in ten of them at any time. */
const SPELL_MS = 9_000;
const SPELL_SHARE = 0.3;
const SPELL_ERROR_RATE = 0.9;
const SERVICE_MS = 480;
const HEALTHY_ERROR_RATE = 0.012;
const UPSTREAMS = 5;
const SLOTS = 6;
const DURATION_MS = 120_000;
const ORDER: Partial<ServiceRequest> = { isIdempotent: false, timeoutMs: 4_000 };
const END_MS = 5_000;
/** What upstreams in a spell do on the platform. */
const FAILS_AT_ONCE = { errorRate: 1, slowFactor: 0.002 };
const SEEDS = [1, 2, 3];

const test = suite("prompt ejection");

test("of the orders of a quiet day, upstreams in spells of failure lose less than half as many as by the baseline", async () => {
    const prompt = await measureLoss(EjectionPolicy.Prompt, 12);
    const baseline = await measureLoss(EjectionPolicy.Baseline, 12);
    assert.ok(prompt.failed < baseline.failed / 2, `${prompt.failed} against ${baseline.failed}`);
    assert.ok(prompt.refused <= prompt.failed, `${prompt.refused} refused`);
});

test("at twice the load the capacity that spells leave is used, with fewer orders lost than by the baseline", async () => {
    const prompt = await measureLoss(EjectionPolicy.Prompt, 28);
    const baseline = await measureLoss(EjectionPolicy.Baseline, 28);
    const getLost = ({ failed, refused }: Loss): number => failed + refused;
    assert.ok(getLost(prompt) < 0.75 * getLost(baseline), `${getLost(prompt)} against ${getLost(baseline)}`);
});

test("where all upstreams fail alike, most of them stay at work", async () => {
    const bench = createBench(EjectionPolicy.Prompt, 1);
    await runOrders(bench, 20, 10_000);
    for (let index = 0; index < UPSTREAMS; index++) {
        bench.upstreams.applyFaults(`u${index}`, { errorRate: 0.5 });
    }
    const answers = await runOrders(bench, 20, 20_000);
    const served = answers.filter(isServed).length;
    assert.ok(served >= 0.3 * answers.length, `${served} of ${answers.length} served`);
});

test("a pool whose only upstream fails refuses at once, so that another zone is asked", async () => {
    const bench = createBench(EjectionPolicy.Prompt, 1, 1);
    bench.apply({ upstreams: [...bench.service.upstreams, { ...bench.service.upstreams[0]!, name: "b0", zone: "b" }] });
    bench.upstreams.applyFaults("u0", { errorRate: 1 });
    await runOrders(bench, 5, 1_000);
    const answer = bench.send(ORDER);
    await bench.clock.run(1);
    const { outcome } = await answer;
    assert.ok(outcome.kind === OutcomeKind.NotRun && outcome.reason === RefusalReason.NoUpstream);
});

test("convicted upstreams that are kept at work get no overflow from the one that serves", async () => {
    const bench = createBench(EjectionPolicy.Prompt, 1);
    await runOrders(bench, 10, 5_000);
    for (let index = 0; index < UPSTREAMS - 1; index++) {
        bench.upstreams.applyFaults(`u${index}`, { errorRate: 1 });
    }
    const answers = await runOrders(bench, 16, 20_000);
    const failed = answers.filter(answer => answer.outcome.kind !== OutcomeKind.NotRun && !isServed(answer)).length;
    assert.ok(failed <= 0.15 * answers.length, `${failed} of ${answers.length} failed`);
});

test("in a busy pool, failures by chance leave the floor of the upstreams at work", async () => {
    const bench = createBench(EjectionPolicy.Prompt, 4, UPSTREAMS, 0.04);
    const load = bench.sendLoad(30, 60_000, ORDER);
    let working = 0;
    for (let sample = 0; sample < 120; sample++) {
        await bench.clock.run(500);
        working += bench.getStates().filter(state => state !== "ejected").length / UPSTREAMS;
    }
    await bench.clock.run(END_MS);
    await load;
    assert.ok(working / 120 >= 0.7, `${(working / 120).toFixed(2)} at work in the mean`);
});

test("an upstream that answers again after its spell takes its full share at once", async () => {
    const bench = createBench(EjectionPolicy.Prompt, 2, UPSTREAMS, 0);
    await runOrders(bench, 20, 5_000);
    bench.upstreams.applyFaults("u1", { errorRate: 1 });
    await runOrders(bench, 20, 5_000);
    bench.upstreams.applyFaults("u1", {});
    await runOrders(bench, 20, 12_000);
    assert.equal(new Set(bench.getStates()), new Set(["healthy"]));
});

test("while lookups come, no order is a trial, and an upstream in a spell is tried every two seconds", async () => {
    const bench = createBench(EjectionPolicy.Prompt, 5);
    bench.upstreams.applyFaults("u1", FAILS_AT_ONCE);
    const lookups = bench.sendLoad(6, 60_000, { route: "public", timeoutMs: 1_100 });
    const orders = bench.sendLoad(20, 60_000, ORDER);
    await bench.clock.run(60_000 + END_MS);
    await Promise.all([lookups, orders]);
    const sent = bench.upstreams.records.filter(record => record.upstream === "u1");
    assert.is(sent.filter(record => !record.isIdempotent).length, 1, "orders sent to it");
    const gaps = sent.slice(1).map((record, index) => record.time - sent[index]!.time);
    assert.ok(Math.max(...gaps) < 2_000, `${Math.max(...gaps)} ms between two trials`);
});

test("an upstream whose spell has ended is back within seconds while lookups come", async () => {
    const bench = createBench(EjectionPolicy.Prompt, 6, UPSTREAMS, 0);
    const lookups = bench.sendLoad(3, 30_000, { route: "public", timeoutMs: 1_100 });
    const orders = bench.sendLoad(20, 30_000, ORDER);
    await bench.clock.run(5_000);
    bench.upstreams.applyFaults("u1", FAILS_AT_ONCE);
    await bench.clock.run(5_000);
    assert.is(bench.getStates()[1] === "healthy", false);
    bench.upstreams.applyFaults("u1", {});
    await bench.clock.run(4_000);
    assert.is(bench.getStates()[1], "healthy");
    await bench.clock.run(20_000);
    await Promise.all([lookups, orders]);
});

test("a lookup that can be a trial is not refused because the pool is full", async () => {
    const bench = createBench(EjectionPolicy.Prompt, 7, UPSTREAMS, 0);
    bench.upstreams.applyFaults("u1", FAILS_AT_ONCE);
    const orders = bench.sendLoad(90, 20_000, ORDER);
    const lookups = bench.sendLoad(3, 20_000, { route: "public", timeoutMs: 1_100 });
    await bench.clock.run(20_000 + END_MS);
    await Promise.all([orders, lookups]);
    const trials = bench.upstreams.records.filter(record => record.upstream === "u1" && record.isIdempotent);
    assert.ok(trials.length >= 10, `${trials.length} trials in 20 s`);
});

test("trials that fail do not hide the first failure of the next upstream", async () => {
    const bench = createBench(EjectionPolicy.Prompt, 8, UPSTREAMS, 0);
    const lookups = bench.sendLoad(8, 240_000, { route: "public", timeoutMs: 1_100 });
    const orders = bench.sendLoad(4, 240_000, ORDER);
    for (let spell = 0; spell < 20; spell++) {
        bench.upstreams.applyFaults(`u${spell % UPSTREAMS}`, FAILS_AT_ONCE);
        await bench.clock.run(SPELL_MS);
        bench.upstreams.applyFaults(`u${spell % UPSTREAMS}`, {});
        await bench.clock.run(3_000);
    }
    await bench.clock.run(END_MS);
    await Promise.all([lookups, orders]);
    const failures = bench.decisions.find({}).filter(item => item.reason === "status 500");
    assert.ok(failures.length >= 10);
    assert.is(
        failures.filter(item => item.figures?.["state"] === "suspected").length,
        0,
        "failures that did not eject",
    );
});

for (const lookupsPerSecond of [0, 4]) {
    test(`an upstream that the floor kept is tried until it has recovered, with ${lookupsPerSecond} lookups a second`, async () => {
        for (const seed of [1, 2, 3, 4, 5, 6]) {
            const bench = createBench(EjectionPolicy.Prompt, seed, UPSTREAMS, 0);
            const orders = bench.sendLoad(8, 60_000, ORDER);
            const lookups = lookupsPerSecond === 0
                ? Promise.resolve([])
                : bench.sendLoad(lookupsPerSecond, 60_000, { route: "public", timeoutMs: 1_100 });
            applyToOthers(bench, FAILS_AT_ONCE);
            while (!bench.getStates().includes("held")) {
                await bench.clock.run(10);
            }
            applyToOthers(bench, {});
            await bench.clock.run(30_000);
            assert.equal(new Set(bench.getStates()), new Set(["healthy"]), `seed ${seed}`);
            await bench.clock.run(30_000 + END_MS);
            await Promise.all([orders, lookups]);
        }
    });
}

test("while another zone serves too little, orders too try resting upstreams, so that seven in ten are in use", async () => {
    const bench = createBench(EjectionPolicy.Prompt, 10, UPSTREAMS, 0);
    const orders = bench.sendLoad(40, 30_000, ORDER);
    bench.upstreams.applyFaults("u1", FAILS_AT_ONCE);
    bench.upstreams.applyFaults("u2", FAILS_AT_ONCE);
    const used: Set<string>[] = [];
    for (let second = 0; second < 30; second++) {
        const served = { requests: 50, unserved: 20 };
        const params = { service: "orders", part: "b", upstreams: [], served };
        await bench.handlers.run(PeerMethod.ShareBaseline, params);
        const start = bench.clock.getTime();
        await bench.clock.run(1_000);
        const records = bench.upstreams.records.filter(record => record.time >= start - 1_000);
        used.push(new Set(records.map(record => record.upstream)));
    }
    await bench.clock.run(END_MS);
    await orders;
    const tooFew = used.slice(2).filter(names => names.size < 0.7 * UPSTREAMS);
    assert.is(tooFew.length, 0, `${tooFew.length} of 28 spans of two seconds`);
});

test("no lookup is a trial while the retries that would follow are used up", async () => {
    const bench = createBench(EjectionPolicy.Prompt, 11, UPSTREAMS, 0);
    bench.apply({ retryBudget: 0 });
    const retries = Array.from({ length: 10 }, () => bench.send({ sentBefore: 1, excludedUpstreams: ["another"] }));
    bench.upstreams.applyFaults("u1", FAILS_AT_ONCE);
    const orders = bench.sendLoad(20, 8_000, ORDER);
    const lookups = bench.sendLoad(6, 8_000, { route: "public", timeoutMs: 1_100 });
    await bench.clock.run(8_000 + END_MS);
    await Promise.all([...retries, orders, lookups]);
    const [first, ...later] = bench.upstreams.records.filter(record => record.upstream === "u1");
    const trials = later.filter(({ isIdempotent, time }) => isIdempotent && time > first!.time + 100 && time < 8_000);
    assert.is(trials.length, 0);
});

test("in a strained service that only lookups use, seven in ten upstreams are in use, though no retry is to spare", async () => {
    const bench = createBench(EjectionPolicy.Prompt, 12, UPSTREAMS, 0);
    bench.apply({ retryBudget: 0 });
    const retries = Array.from({ length: 10 }, () => bench.send({ excludedUpstreams: ["another"] }));
    const lookups = bench.sendLoad(30, 20_000, { route: "lookups", timeoutMs: 2_000 });
    bench.upstreams.applyFaults("u1", FAILS_AT_ONCE);
    bench.upstreams.applyFaults("u2", FAILS_AT_ONCE);
    let tooFew = 0;
    for (let second = 0; second < 20; second++) {
        const params = { service: "orders", part: "b", upstreams: [], served: { requests: 50, unserved: 20 } };
        await bench.handlers.run(PeerMethod.ShareBaseline, params);
        const start = bench.clock.getTime();
        await bench.clock.run(1_000);
        const records = bench.upstreams.records.filter(record => record.time >= start - 1_000);
        const inUse = new Set(records.map(record => record.upstream)).size;
        tooFew += Number(second >= 3 && inUse < 0.7 * UPSTREAMS);
    }
    await bench.clock.run(END_MS);
    await Promise.all([...retries, lookups]);
    assert.is(tooFew, 0, `${tooFew} of 17 spans of two seconds`);
});

test("a new registration ends nobody's time out of work", async () => {
    const bench = createBench(EjectionPolicy.Prompt, 1);
    await runOrders(bench, 20, 2_000);
    bench.upstreams.applyFaults("u0", { errorRate: 1 });
    await runOrders(bench, 20, 2_000);
    const before = bench.getStates()[0];
    assert.ok(before === "ejected" || before === "probation", before);
    bench.apply({ upstreams: [...bench.service.upstreams] });
    assert.equal(bench.getStates()[0], before);
});

test("answers that are late by milliseconds eject no upstream", async () => {
    const bench = new ServiceBench({
        seed: 1,
        upstreams: UPSTREAMS,
        policy: EjectionPolicy.Prompt,
        fakes: { serviceTimeMs: 2 },
        detection: GATEWAY_SERVICE_DEFAULTS.detection,
        service: { floor: 0.7, queuePerSlot: GATEWAY_SERVICE_DEFAULTS.queuePerSlot },
    });
    await runOrders(bench, 40, 5_000);
    bench.upstreams.applyFaults("u1", { slowFactor: 12 });
    await runOrders(bench, 40, 10_000);
    assert.equal(new Set(bench.getStates()), new Set(["healthy"]));
});

test("public requests of a few milliseconds make no lookup look slow", async () => {
    const bench = createBench(EjectionPolicy.Prompt, 3);
    const slow = bench.sendLoad(20, 30_000, { route: "lookups", timeoutMs: 3_000 });
    for (let second = 0; second < 30; second++) {
        await bench.clock.run(1_000);
    }
    await bench.clock.run(5_000);
    await slow;
    assert.is(bench.decisions.find({}).filter(item => /slow/.test(item.reason)).length, 0);
});

test.run();

/** Sends orders and lets the last ones reach their deadline. */
async function runOrders(bench: ServiceBench, perSecond: number, durationMs: number): Promise<ServiceAnswer[]> {
    const load = bench.sendLoad(perSecond, durationMs, ORDER);
    await bench.clock.run(durationMs + END_MS);
    return await load;
}

/** Applies faults to all upstreams but the first. */
function applyToOthers(bench: ServiceBench, faults: FakeUpstreamFaults): void {
    for (let index = 1; index < UPSTREAMS; index++) {
        bench.upstreams.applyFaults(`u${index}`, faults);
    }
}

interface Loss {
    failed: number;
    refused: number;
}

async function measureLoss(policy: EjectionPolicy, perSecond: number): Promise<Loss> {
    const loss: Loss = { failed: 0, refused: 0 };
    for (const seed of SEEDS) {
        const bench = createBench(policy, seed);
        startSpells(bench);
        const answers = await runOrders(bench, perSecond, DURATION_MS);
        loss.refused += answers.filter(answer => answer.outcome.kind === OutcomeKind.NotRun).length;
        loss.failed += answers.filter(answer => answer.outcome.kind !== OutcomeKind.NotRun && !isServed(answer)).length;
    }
    return loss;
}

function createBench(
    policy: EjectionPolicy,
    seed: number,
    upstreams = UPSTREAMS,
    healthyErrorRate = HEALTHY_ERROR_RATE,
): ServiceBench {
    return new ServiceBench({
        seed,
        upstreams,
        slots: SLOTS,
        policy,
        fakes: { serviceTimeMs: SERVICE_MS, healthyErrorRate },
        detection: GATEWAY_SERVICE_DEFAULTS.detection,
        service: { floor: 0.7, queuePerSlot: GATEWAY_SERVICE_DEFAULTS.queuePerSlot },
    });
}

/** Each upstream draws anew, at a phase of its own, whether it is in a spell. */
function startSpells(bench: ServiceBench): void {
    for (let index = 0; index < UPSTREAMS; index++) {
        const startSpell = (): void => {
            const isFailing = bench.random.getNext() < SPELL_SHARE;
            bench.upstreams.applyFaults(`u${index}`, isFailing ? { errorRate: SPELL_ERROR_RATE } : {});
            bench.clock.schedule(SPELL_MS, startSpell);
        };
        bench.clock.schedule(bench.random.getNext() * SPELL_MS, startSpell);
    }
}

function isServed({ outcome }: ServiceAnswer): boolean {
    return outcome.kind === OutcomeKind.Done && outcome.status < 500;
}
