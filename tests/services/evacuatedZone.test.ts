import { suite } from "uvu";
import * as assert from "uvu/assert";
import { OutcomeKind, RefusalReason } from "../../src/outcomes/index.js";
import { createEvacuatedService } from "../support/createEvacuatedService.js";
import { createPromptBench } from "../support/createPromptBench.js";
import { DispatchBench } from "../support/DispatchBench.js";

const SECOND_MS = 1_000;
const SERVICE_TIME_MS = 40;
const HOSTS = 6;
const EVACUATED = "zone-b";

const test = suite("the upstreams of an evacuated zone");

for (const faults of [{}, { errorRate: 0.9 }, { hangRate: 0.9 }, { slowFactor: 20 }]) {
    test(`get neither requests nor trials, whatever state they were in, ${JSON.stringify(faults)}`, async () => {
        const bench = createPromptBench(4);
        bench.service.upstreams.slice(0, 3).forEach(({ name }) => bench.upstreams.applyFaults(name, faults));
        await bench.runLoad(60, 5 * SECOND_MS);
        const upstreams = bench.service.upstreams;
        bench.apply(createEvacuatedService(bench.service, "a"));
        const before = bench.upstreams.records.length;
        const answers = await bench.runLoad(60, 20 * SECOND_MS);
        assert.is(bench.upstreams.records.length, before);
        assert.ok(answers.every(({ outcome }) => outcome.kind === OutcomeKind.NotRun));
        assert.is(bench.decisions.find({ upstream: "u0" }).at(-1)!.reason, "its zone is evacuated");
        bench.apply({ upstreams });
        await bench.runLoad(60, SECOND_MS);
        assert.ok(bench.upstreams.records.length > before);
    });
}

test("requests in progress end, and queued ones are refused at once as not run", async () => {
    const bench = createPromptBench(2, 1);
    const sent = Array.from({ length: 4 }, () => bench.send({ isIdempotent: false, timeoutMs: 4_000 }));
    await bench.clock.run(5);
    bench.apply(createEvacuatedService(bench.service, "a"));
    const queued = await Promise.all(sent.slice(2));
    assert.ok(
        queued.every(({ outcome }) =>
            outcome.kind === OutcomeKind.NotRun && outcome.reason === RefusalReason.NoUpstream
        ),
    );
    await bench.clock.run(SECOND_MS);
    const running = await Promise.all(sent.slice(0, 2));
    assert.ok(running.every(({ outcome }) => outcome.kind === OutcomeKind.Done));
});

for (const isKnownBySenders of [true, false]) {
    const name = isKnownBySenders ? "the hosts that send requests" : "the service hosts";
    test(`get nothing while only ${name} know of the evacuation, and other zones serve the requests`, async () => {
        const bench = new DispatchBench({ hosts: HOSTS, serviceTimeMs: SERVICE_TIME_MS });
        await runLoad(bench);
        const evacuated = createEvacuatedService(bench.service, EVACUATED);
        if (isKnownBySenders) {
            bench.service = evacuated;
        }
        else {
            bench.applyAtServiceHosts(evacuated);
        }
        const before = bench.upstreams.records.length;
        const kinds = await runLoad(bench);
        assert.equal(kinds, new Set([OutcomeKind.Done]));
        const reached = bench.upstreams.records.slice(before).filter(({ upstream }) => upstream.startsWith(EVACUATED));
        assert.is(reached.length, 0);
    });
}

test.run();

/** Sends orders from all hosts for some seconds; returns the kinds of their outcomes. */
async function runLoad(bench: DispatchBench): Promise<ReadonlySet<OutcomeKind>> {
    const sent: Promise<OutcomeKind>[] = [];
    const end = bench.clock.getTime() + 3 * SECOND_MS;
    for (let index = 0; bench.clock.getTime() < end; index++) {
        sent.push(bench.run(index % HOSTS, 2, false).then(({ kind }) => kind));
        await bench.clock.run(5);
    }
    await bench.clock.run(2 * SECOND_MS);
    return new Set(await Promise.all(sent));
}
