import { Readable } from "node:stream";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { FakeUpstreamsOptions } from "../../src/fakes/index.js";
import { ServiceBench } from "../../src/fakes/index.js";
import { GATEWAY_SERVICE_DEFAULTS } from "../../src/gateway/index.js";
import { Decision } from "../../src/logging/index.js";
import { OutcomeKind } from "../../src/outcomes/index.js";
import { EjectionPolicy, UpstreamAnswerKind } from "../../src/services/index.js";
import type { UpstreamAnswer } from "../../src/services/index.js";

const LOOKUP = { timeoutMs: 4_000, route: "catalogue", hasOtherAttempt: true };

/** Lookups with slow bodies were sent twice and taken as evidence against sound upstreams. */
for (const [serviceTimeMs, answerTimeMs] of [[40, 800], [500, 1_500]] as const) {
    test(`a lookup whose head has arrived is not overdue while its body takes ${answerTimeMs} ms`, async () => {
        const bench = createBench({ serviceTimeMs, answerBytes: 16_384, answerTimeMs });
        const answers = await bench.runLoad(2, 60_000, LOOKUP);
        await bench.clock.run(5_000);
        assert.is(bench.upstreams.records.length, answers.length);
        assert.equal(bench.decisions.find({}).filter(({ decision }) => decision === Decision.Ejected), []);
    });
}

/** A service host relied on the sender alone not to send an order twice. */
test("an order is not sent to a second upstream, whatever the sender says of other attempts", async () => {
    const bench = createBench({ serviceTimeMs: 100 });
    await bench.runLoad(50, 4_000, LOOKUP);
    bench.service.upstreams.forEach(({ name }) => bench.upstreams.applyFaults(name, { slowFactor: 20 }));
    const sentBefore = bench.upstreams.records.length;
    const answer = bench.send({ ...LOOKUP, isIdempotent: false });
    await bench.clock.run(5_000);
    await answer;
    assert.is(bench.upstreams.records.length - sentBefore, 1);
});

/** A failure on a new connection cancelled the first attempt, which would have been answered. */
for (const status of [429, 500, 503]) {
    test(`a lookup that runs is not given up for a ${status} on another connection to its upstream`, async () => {
        const bench = createBench({ serviceTimeMs: 20 }, 1);
        await bench.runLoad(100, 3_000, { timeoutMs: 4_000 });
        let sends = 0;
        bench.upstreams.send = async (_upstream, _request, { signal }): Promise<UpstreamAnswer> => {
            const isFirst = sends++ === 0;
            try {
                await bench.clock.wait(isFirst ? 1_500 : 5, signal);
            }
            catch {
                return { kind: UpstreamAnswerKind.Aborted };
            }
            const body = Readable.from([Buffer.from("x")], { objectMode: false });
            return {
                kind: UpstreamAnswerKind.Answered,
                status: isFirst ? 200 : status,
                headers: {},
                body,
            } as UpstreamAnswer;
        };
        const answer = bench.send({ timeoutMs: 4_000 });
        await bench.clock.run(4_500);
        const { outcome } = await answer;
        assert.is(sends, 2);
        assert.is(outcome.kind === OutcomeKind.Done ? outcome.status : outcome.kind, 200);
    });
}

test.run();

function createBench(fakes: Partial<FakeUpstreamsOptions>, upstreams = 5): ServiceBench {
    return new ServiceBench({
        upstreams,
        policy: EjectionPolicy.Prompt,
        isFirstOfTwo: true,
        service: GATEWAY_SERVICE_DEFAULTS,
        fakes,
    });
}
