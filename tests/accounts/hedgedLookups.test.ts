import { test } from "uvu";
import * as assert from "uvu/assert";
import type { FakeUpstreamFaults } from "../../src/fakes/index.js";
import { OutcomeKind, RefusalReason } from "../../src/outcomes/index.js";
import type { Outcome } from "../../src/outcomes/index.js";
import { UpstreamAnswerKind } from "../../src/services/index.js";
import { DispatchBench } from "../support/DispatchBench.js";

const MAX_ATTEMPTS = 3;
const SECOND_FAULTS: Readonly<Record<string, FakeUpstreamFaults>> = {
    "sheds it": { isShedding: true },
    "fails it": { errorRate: 1, slowFactor: 0.01 },
    "is unavailable": { isUnavailable: true, slowFactor: 0.01, retryAfterMs: 5_000 },
};

/** After the second attempt failed, the caller waited for the silent first one until the deadline. */
for (const [name, faults] of Object.entries(SECOND_FAULTS)) {
    test(`a lookup whose first upstream is silent is served by a third one if the second one ${name}`, async () => {
        const bench = await createBench(400);
        const send = bench.upstreams.send.bind(bench.upstreams);
        const seen: string[] = [];
        bench.upstreams.send = (upstream, request, options) => {
            if (!seen.includes(upstream.name)) {
                seen.push(upstream.name);
                const byOrder: readonly FakeUpstreamFaults[] = [{ hangRate: 1 }, faults];
                bench.upstreams.applyFaults(upstream.name, byOrder[seen.length - 1] ?? {});
            }
            return send(upstream, request, options);
        };
        assert.is(getStatus(await runOne(bench, MAX_ATTEMPTS)), 200);
    });
}

/** Lookups that were served were quarantined with the upstreams that others had crashed. */
test("a lookup that its second upstream has answered is not quarantined for losses of the first ones", async () => {
    const bench = await createBench(200);
    const { dispatcher } = bench.hosts[0]!;
    const run = dispatcher.run.bind(dispatcher);
    dispatcher.run = (call, signal) => run({ ...call, fingerprint: "good" }, signal);
    const send = bench.upstreams.send.bind(bench.upstreams);
    for (let index = 0; index < 4; index++) {
        let sends = 0;
        bench.upstreams.send = async (upstream, request, options) => {
            if (sends++ > 0) {
                return await send(upstream, request, options);
            }
            await bench.clock.wait(800);
            return { kind: UpstreamAnswerKind.ConnectionLost, detail: "The upstream was killed." };
        };
        bench.service.upstreams.forEach(({ name }) => bench.upstreams.applyFaults(name, { slowFactor: 5 }));
        const outcome = await runOne(bench, MAX_ATTEMPTS);
        bench.service.upstreams.forEach(({ name }) => bench.upstreams.applyFaults(name, {}));
        await bench.clock.run(6_000);
        assert.is(outcome.kind === OutcomeKind.NotRun ? outcome.reason : undefined, undefined, `lookup ${index + 1}`);
    }
});

/** Both attempts had one id, so that a request crashed twice as many upstreams before its quarantine. */
test("the two upstreams that a hedged request has crashed count as two crashes", async () => {
    const bench = await createBench(200);
    const { dispatcher } = bench.hosts[0]!;
    const run = dispatcher.run.bind(dispatcher);
    dispatcher.run = (call, signal) => run({ ...call, fingerprint: "poison" }, signal);
    const crashes = new Map<string, AbortController>();
    bench.upstreams.send = async (upstream, _request, { signal }) => {
        const crash = crashes.get(upstream.name) ?? new AbortController();
        const isFirst = !crashes.has(upstream.name);
        crashes.set(upstream.name, crash);
        await bench.clock.wait(1_500, AbortSignal.any([signal, crash.signal])).catch(() => {});
        if (isFirst) {
            crash.abort();
        }
        return crash.signal.aborted
            ? { kind: UpstreamAnswerKind.ConnectionLost, detail: "It has crashed." }
            : { kind: UpstreamAnswerKind.Aborted };
    };
    await runOne(bench, 2);
    assert.is(crashes.size, 2);
    const outcome = await runOne(bench, 2);
    assert.is(outcome.kind === OutcomeKind.NotRun ? outcome.reason : undefined, RefusalReason.RequestQuarantined);
});

test.run();

/** Creates a host that has learned the usual times; each of these lookups has a fingerprint of its own. */
async function createBench(serviceTimeMs: number): Promise<DispatchBench> {
    const bench = new DispatchBench({ hosts: 1, serviceTimeMs, upstreamsPerZone: 6 });
    const { dispatcher } = bench.hosts[0]!;
    const run = dispatcher.run.bind(dispatcher);
    dispatcher.run = (call, signal) =>
        run(call.fingerprint === "f" ? { ...call, fingerprint: call.request.requestId } : call, signal);
    const lookups: Promise<Outcome>[] = [];
    for (let index = 0; index < 150; index++) {
        lookups.push(bench.run(0, MAX_ATTEMPTS));
        await bench.clock.run(100);
    }
    await bench.clock.run(5_000);
    await Promise.all(lookups);
    return bench;
}

async function runOne(bench: DispatchBench, maxAttempts: number): Promise<Outcome> {
    const outcome = bench.run(0, maxAttempts);
    await bench.clock.run(4_500);
    return await outcome;
}

function getStatus(outcome: Outcome): number | string {
    return outcome.kind === OutcomeKind.Done ? outcome.status : outcome.reason;
}
