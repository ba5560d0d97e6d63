import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { ServiceBench } from "../../src/fakes/index.js";
import { GATEWAY_SERVICE_DEFAULTS } from "../../src/gateway/index.js";
import { OutcomeKind, RefusalReason } from "../../src/outcomes/index.js";
import { EjectionPolicy } from "../../src/services/index.js";
import type { ServiceAnswer, ServiceRequest } from "../../src/services/index.js";

const SLOT_SECONDS = 0.02;

test("no upstream runs more requests than it has slots, and each request ends once, under random load", async () => {
    const arrival = fc.record({
        atMs: fc.nat(300),
        leavesAfterMs: fc.option(fc.nat(100), { nil: undefined }),
        timeoutMs: fc.integer({ min: 1, max: 200 }),
        isIdempotent: fc.boolean(),
        account: fc.constantFrom("a", "b", "c"),
    });
    const property = fc.asyncProperty(fc.array(arrival, { maxLength: 80 }), fc.nat(), async (arrivals, seed) => {
        const bench = new ServiceBench({ seed, upstreams: 2, slots: 2 });
        bench.upstreams.applyFaults("u1", { errorRate: 0.3, lossRate: 0.2, cutRate: 0.2 });
        const answers = Promise.all(arrivals.map(async ({ atMs, leavesAfterMs, ...request }) => {
            const controller = new AbortController();
            await bench.clock.wait(atMs);
            if (leavesAfterMs !== undefined) {
                bench.clock.schedule(leavesAfterMs, () => controller.abort());
            }
            return await bench.send(request, controller.signal);
        }));
        await bench.clock.run(5_000);
        assert.is((await answers).length, arrivals.length);
        assert.ok(bench.upstreams.records.every(record => record.running < 2));
        const ids = bench.upstreams.records.map(record => record.requestId);
        assert.is(new Set(ids).size, ids.length);
        assert.is(bench.upstreams.getRunning("u0") + bench.upstreams.getRunning("u1"), 0);
        assert.ok(bench.host.getStatus().every(status => status.running === 0));
    });
    await fc.assert(property, { seed: 11, numRuns: 40 });
});

test("an account within its rate keeps 95 % of its answers while another sends five times its rate", async () => {
    const capacity = 4 * 2 / SLOT_SECONDS;
    const alone = await runAccounts({ small: 0.1 * capacity });
    const contended = await runAccounts({ small: 0.1 * capacity, large: 5 * 0.8 * capacity });
    assert.ok(contended >= 0.95 * alone, `${contended} answered under contention, ${alone} alone`);
});

test("a request that can't be served in time is refused at once as not run, with a retry-after time", async () => {
    const bench = new ServiceBench({ upstreams: 1, slots: 1, service: { queuePerSlot: 100 } });
    await bench.runLoad(20, 10_000);
    const waiting = Array.from({ length: 20 }, () => bench.send({ timeoutMs: 10_000 }));
    await bench.clock.run(0);
    const start = bench.clock.getTime();
    const { outcome } = await bench.send({ timeoutMs: 50, priority: 1 });
    assert.is(bench.clock.getTime(), start);
    assert.ok(outcome.kind === OutcomeKind.NotRun && outcome.retryAfterMs! > 0);
    await bench.clock.run(10_000);
    assert.ok((await Promise.all(waiting)).every(answer => answer.outcome.kind === OutcomeKind.Done));
});

test("at twice the capacity, no order is sent with less time left than orders take, even with public requests of 2 ms in the queue", async () => {
    const fakes = { serviceTimeMs: 220, routeServiceTimesMs: { public: 2 } };
    const bench = new ServiceBench({ upstreams: 3, slots: 2, service: { queuePerSlot: 6 }, fakes });
    const arrivals = new Map<string, number>();
    const timeoutMs = 700;
    const sendOrders = async (): Promise<ServiceAnswer[]> => {
        const answers: Promise<ServiceAnswer>[] = [];
        for (let index = 0; index < 54 * 30; index++) {
            const requestId = `order-${index}`;
            arrivals.set(requestId, bench.clock.getTime());
            answers.push(bench.send({ requestId, route: "orders", isIdempotent: false, timeoutMs }));
            await bench.clock.wait(1_000 / 54);
        }
        return await Promise.all(answers);
    };
    const lookups = bench.sendLoad(8, 30_000, { route: "public", timeoutMs: 1_100 });
    const orders = sendOrders();
    await bench.clock.run(35_000);
    await lookups;
    const sent = bench.upstreams.records.filter(record => !record.isIdempotent && record.time > 5_000);
    const getTimeLeft = (id: string, time: number): number => arrivals.get(id)! + timeoutMs - time;
    const late = sent.filter(record => getTimeLeft(record.requestId, record.time) < 220);
    assert.is(late.length, 0, `${late.length} of ${sent.length} sent too late`);
    const served = (await orders).filter(answer => answer.outcome.kind === OutcomeKind.Done).length;
    assert.ok(served >= 0.9 * 30 * 6 / 0.22, `${served} served`);
});

test("a full queue refuses the account that fills it and no other", async () => {
    const bench = new ServiceBench({ upstreams: 1, slots: 1, service: { queuePerSlot: 4 } });
    const many = Array.from({ length: 8 }, () => bench.send({ account: "many" }));
    const one = bench.send({ account: "one" });
    await bench.clock.run(1_000);
    assert.is((await one).outcome.kind, OutcomeKind.Done);
    assert.is((await Promise.all(many)).filter(isNotRun).length, 4);
});

test("a queued request whose caller disconnects is removed at once and is not run", async () => {
    const bench = new ServiceBench({ upstreams: 1, slots: 1 });
    const first = bench.send();
    const controller = new AbortController();
    const second = bench.send({ isIdempotent: false }, controller.signal);
    controller.abort();
    assert.ok(isNotRun(await second));
    await bench.clock.run(1_000);
    await first;
    assert.is(bench.upstreams.records.length, 1);
});

test("when upstreams fail, queued requests beyond the remaining capacity are refused at once", async () => {
    const bench = new ServiceBench({
        policy: EjectionPolicy.Prompt,
        upstreams: 4,
        slots: 2,
        fakes: { serviceTimeMs: 200 },
        detection: GATEWAY_SERVICE_DEFAULTS.detection,
        service: { queuePerSlot: 2, floor: 0.7 },
    });
    const answers = Array.from({ length: 24 }, () => bench.send({ isIdempotent: false, timeoutMs: 60_000 }));
    await bench.clock.run(10);
    bench.upstreams.stopUpstream("u0");
    bench.upstreams.stopUpstream("u1");
    await bench.clock.run(10);
    const refused = bench.decisions.find({}).filter(item => item.reason === RefusalReason.Overloaded);
    assert.is(refused.length, 8, "of 16 queued requests, 8 stay: the queue capacity of two upstreams");
    await bench.clock.run(20_000);
    await Promise.all(answers);
});

test("queued requests that can't be served in time any more are refused when upstreams fail, the least urgent ones", async () => {
    const bench = new ServiceBench({
        policy: EjectionPolicy.Prompt,
        upstreams: 4,
        slots: 2,
        fakes: { serviceTimeMs: 200, restartMs: 60_000 },
        detection: GATEWAY_SERVICE_DEFAULTS.detection,
        service: { queuePerSlot: 8, floor: 0.25 },
    });
    await bench.runLoad(20, 5_000);
    const start = bench.clock.getTime();
    const refusedAfterMs = new Map<number, number[]>();
    const answers = [0, 1].flatMap(priority =>
        Array.from({ length: 16 }, async () => {
            const { outcome } = await bench.send({ isIdempotent: false, timeoutMs: 2_000, priority });
            if (outcome.kind === OutcomeKind.NotRun) {
                assert.ok(outcome.retryAfterMs! > 0);
                refusedAfterMs.set(priority, [...refusedAfterMs.get(priority) ?? [], bench.clock.getTime() - start]);
            }
        })
    );
    await bench.clock.run(10);
    assert.is(refusedAfterMs.size, 0, "there is room for all");
    ["u0", "u1", "u2"].forEach(name => bench.upstreams.stopUpstream(name));
    await bench.clock.run(200);
    assert.ok((refusedAfterMs.get(1)?.length ?? 0) >= 8, "refused at once");
    assert.is(refusedAfterMs.get(0), undefined);
    await bench.clock.run(20_000);
    await Promise.all(answers);
});

test("an unknown priority counts as the highest, one without bound as the lowest, and a target above the time limit as the limit", async () => {
    const bench = new ServiceBench({ upstreams: 1, slots: 1, service: { queuePerSlot: 10 } });
    const ended: string[] = [];
    const send = async (name: string, request: Partial<ServiceRequest>): Promise<void> => {
        await bench.send({ account: undefined, ...request });
        ended.push(name);
    };
    const requests = [
        send("running", {}),
        send("lowest", { priority: 1e9 }),
        send("late target", { priority: 1, targetMs: 1e9 }),
        send("target", { priority: 1, targetMs: 900 }),
        send("unknown", { priority: Number.NaN }),
        send("none", {}),
    ];
    await bench.clock.run(1_000);
    await Promise.all(requests);
    assert.equal(ended, ["running", "unknown", "none", "target", "late target", "lowest"]);
});

test("a slot stays in use until the response body has ended", async () => {
    const bench = new ServiceBench({ upstreams: 1, slots: 1, fakes: { answerTimeMs: 500 } });
    const answers = Promise.all([bench.send(), bench.send()]);
    await bench.clock.run(2_000);
    await answers;
    const [first, second] = bench.upstreams.records;
    assert.ok(second!.time - first!.time >= 500);
});

test.run();

/** Returns the share of the small account's requests that are answered. */
async function runAccounts(ratesPerSecond: Readonly<Record<string, number>>): Promise<number> {
    const bench = new ServiceBench({ upstreams: 4, slots: 2, service: { queuePerSlot: 16 } });
    bench.weights = { small: 0.1, large: 0.8 };
    const loads = Object.entries(ratesPerSecond).map(([account, rate]) =>
        bench.sendLoad(rate, 10_000, { account, timeoutMs: 300 })
    );
    await bench.clock.run(12_000);
    const [small] = await Promise.all(loads);
    return small!.filter(answer => answer.outcome.kind === OutcomeKind.Done).length / small!.length;
}

function isNotRun(answer: ServiceAnswer): boolean {
    return answer.outcome.kind === OutcomeKind.NotRun;
}
