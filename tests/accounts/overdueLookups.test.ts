import { test } from "uvu";
import * as assert from "uvu/assert";
import { OutcomeKind } from "../../src/outcomes/index.js";
import type { Outcome } from "../../src/outcomes/index.js";
import { DispatchBench } from "../support/DispatchBench.js";

/** The load: three lookups a second that take 1 s to 3 s each, on twelve upstreams, with four seconds to the deadline. */
const SERVICE_MS = 2_000;
const INTERVAL_MS = 333;
const LOOKUPS = 150;
const MAX_ATTEMPTS = 3;
const END_MS = 6_000;

/** Lookups were given up while they ran for attempts that did not start, or that had too little time left. */
test("a lookup that an upstream would answer before the deadline is not given up for another attempt", async () => {
    const bench = new DispatchBench({ hosts: 3, serviceTimeMs: SERVICE_MS });
    assert.equal(await runLookups(bench), []);
});

test("a lookup is served by its first upstream while the only other one is silent", async () => {
    const bench = new DispatchBench({ hosts: 1, upstreamsPerZone: 2, serviceTimeMs: SERVICE_MS });
    const silent = bench.service.upstreams.map(({ name }) => name).filter(name => name.endsWith("-1"));
    const failed = await runLookups(bench, index => {
        if (index === LOOKUPS / 3) {
            silent.forEach(name => bench.upstreams.applyFaults(name, { hangRate: 1 }));
        }
    });
    const { records } = bench.upstreams;
    const failedFirst = failed.filter(({ id }) => !silent.includes(findFirstUpstream(records, id)));
    assert.equal(failedFirst, []);
});

test.run();

interface FailedLookup {
    readonly id: string;
    readonly outcome: Outcome;
}

async function runLookups(bench: DispatchBench, onLookup: (index: number) => void = () => {}): Promise<FailedLookup[]> {
    const outcomes: Promise<Outcome>[] = [];
    for (let index = 0; index < LOOKUPS; index++) {
        onLookup(index);
        outcomes.push(bench.run(index % bench.hosts.length, MAX_ATTEMPTS));
        await bench.clock.run(INTERVAL_MS);
    }
    await bench.clock.run(END_MS);
    const lookups = (await Promise.all(outcomes)).map((outcome, index) => ({ id: `r${index}`, outcome }));
    return lookups.filter(({ outcome }) => outcome.kind !== OutcomeKind.Done);
}

function findFirstUpstream(
    records: readonly { readonly requestId: string; readonly upstream: string; }[],
    id: string,
): string {
    return records.find(({ requestId }) => requestId.split(".")[0] === id)?.upstream ?? "";
}
