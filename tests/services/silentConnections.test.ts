import { test } from "uvu";
import * as assert from "uvu/assert";
import { ServiceBench } from "../../src/fakes/index.js";
import { Decision } from "../../src/logging/index.js";
import { OutcomeKind } from "../../src/outcomes/index.js";

const UPSTREAMS = ["u0", "u1", "u2", "u3", "u4"];
const ALL_SLOTS = 30;

test("idempotent requests on silent connections are answered on new ones, and all upstreams stay healthy", async () => {
    const bench = await createSilentBench();
    const answers = await bench.runLoad(100, 3_000);
    assert.ok(answers.every(answer => answer.outcome.kind === OutcomeKind.Done));
    assert.ok(measureRetries(bench) >= 5);
    assert.ok(bench.host.getStatus().every(status => status.state === "healthy"));
});

test("an order is never sent on a connection that may be silent", async () => {
    const bench = await createSilentBench();
    await bench.clock.run(2_000);
    const orders = Promise.all(Array.from({ length: 20 }, () => bench.send({ isIdempotent: false, method: "POST" })));
    await bench.clock.run(1_000);
    assert.ok((await orders).every(answer => answer.outcome.kind === OutcomeKind.Done));
});

test("after a retry for a silent connection, the older idle connections to its upstream are not used", async () => {
    const bench = await createSilentBench();
    await bench.runLoad(5, 10_000);
    const before = measureRetries(bench);
    const burst = Promise.all(Array.from({ length: ALL_SLOTS }, () => bench.send()));
    await bench.clock.run(2_000);
    await burst;
    assert.ok(before >= 5);
    assert.is(measureRetries(bench), before);
});

test("the first requests of a service are not limited before a first-byte limit is learned", async () => {
    const bench = new ServiceBench();
    await bench.runLoad(10, 2_000);
    UPSTREAMS.forEach(name => bench.upstreams.applyFaults(name, { slowFactor: 30 }));
    const answers = await bench.runLoad(10, 2_000, { timeoutMs: 5_000 });
    assert.ok(answers.every(answer => answer.outcome.kind === OutcomeKind.Done));
    assert.is(measureRetries(bench), 0);
});

/** Lookups were given up at the limit, although only their answers were slow and nothing better followed. */
test("a lookup whose answer is slower than the first-byte limit is served by it before the deadline", async () => {
    const bench = new ServiceBench();
    await bench.runLoad(100, 3_000);
    UPSTREAMS.forEach(name => bench.upstreams.applyFaults(name, { slowFactor: 30 }));
    const answers = await bench.runLoad(10, 3_000, { timeoutMs: 5_000 });
    assert.equal(answers.filter(({ outcome }) => outcome.kind !== OutcomeKind.Done), []);
});

test.run();

/** Creates a service whose upstreams have an idle connection for each slot, all of them silent. */
async function createSilentBench(): Promise<ServiceBench> {
    const bench = new ServiceBench();
    await bench.runLoad(200, 3_000);
    const burst = Promise.all(Array.from({ length: ALL_SLOTS }, () => bench.send()));
    await bench.clock.run(1_000);
    await burst;
    UPSTREAMS.forEach(name => bench.upstreams.stopIdleConnections(name));
    return bench;
}

function measureRetries(bench: ServiceBench): number {
    return bench.decisions.find({}).filter(record => record.decision === Decision.Retried).length;
}
