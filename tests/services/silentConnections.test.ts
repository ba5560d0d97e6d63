import { test } from "uvu";
import * as assert from "uvu/assert";
import { ServiceBench } from "../../src/fakes/index.js";
import { Decision } from "../../src/logging/index.js";
import { OutcomeKind } from "../../src/outcomes/index.js";

test("lookups on connections that have gone silent are answered on new ones, and no upstream is blamed", async () => {
    const bench = await createSilentBench();
    const answers = await bench.runLoad(100, 3_000);
    assert.ok(answers.every(answer => answer.outcome.kind === OutcomeKind.Done));
    const retries = bench.decisions.find({}).filter(record => record.decision === Decision.Retried);
    assert.ok(retries.length >= 5);
    assert.ok(bench.host.getStatus().every(status => status.state === "healthy"));
});

test("an order never goes out on a connection that may be silent", async () => {
    const bench = await createSilentBench();
    await bench.clock.run(2_000);
    const orders = Promise.all(Array.from({ length: 20 }, () => bench.send({ isIdempotent: false, method: "POST" })));
    await bench.clock.run(1_000);
    assert.ok((await orders).every(answer => answer.outcome.kind === OutcomeKind.Done));
});

test("the first requests of a service are not cut short by a limit that is not learned yet", async () => {
    const bench = new ServiceBench({ fakes: { serviceTimeMs: 600 } });
    const answers = await bench.runLoad(10, 2_000, { timeoutMs: 5_000 });
    assert.ok(answers.every(answer => answer.outcome.kind === OutcomeKind.Done));
});

test.run();

async function createSilentBench(): Promise<ServiceBench> {
    const bench = new ServiceBench();
    await bench.runLoad(200, 3_000);
    ["u0", "u1", "u2", "u3", "u4"].forEach(name => bench.upstreams.stopIdleConnections(name));
    return bench;
}
