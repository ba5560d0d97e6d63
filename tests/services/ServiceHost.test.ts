import { test } from "uvu";
import * as assert from "uvu/assert";
import { ServiceBench } from "../../src/fakes/index.js";
import { OutcomeKind } from "../../src/outcomes/index.js";

test("each request of a healthy service is answered, and no upstream runs more requests than it has slots", async () => {
    const bench = new ServiceBench();
    const answers = await bench.runLoad(300, 5_000);
    assert.ok(answers.length > 1_000);
    assert.ok(answers.every(answer => answer.outcome.kind === OutcomeKind.Done));
    assert.ok(bench.upstreams.records.every(record => record.running < 6 && record.isRun));
    assert.is(new Set(bench.upstreams.records.map(record => record.requestId)).size, answers.length);
});

test("an upstream that fails half of its requests is ejected, and restored after it recovers", async () => {
    const bench = new ServiceBench();
    await bench.runLoad(200, 5_000);
    bench.upstreams.applyFaults("u2", { errorRate: 0.5 });
    await bench.runLoad(200, 3_000);
    assert.is(bench.getStates()[2], "ejected");
    bench.upstreams.applyFaults("u2", {});
    await bench.runLoad(200, 20_000);
    assert.equal(new Set(bench.getStates()), new Set(["healthy"]));
});

test.run();
