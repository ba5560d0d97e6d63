import { test } from "uvu";
import * as assert from "uvu/assert";
import { OutcomeKind } from "../../src/outcomes/index.js";
import type { Outcome } from "../../src/outcomes/index.js";
import { DispatchBench } from "../support/DispatchBench.js";

/** The load: ten lookups a second of 400 ms each with four seconds to the deadline, on twelve upstreams. */
const SERVICE_MS = 400;
const INTERVAL_MS = 100;
const LOOKUPS = 150;
const FAULT_AT = 50;
const MAX_ATTEMPTS = 3;
const END_MS = 6_000;

test("lookups at an upstream that falls silent are served by another one before their deadline", async () => {
    const bench = new DispatchBench({ hosts: 3, serviceTimeMs: SERVICE_MS });
    const outcomes: Promise<Outcome>[] = [];
    for (let index = 0; index < LOOKUPS; index++) {
        if (index === FAULT_AT) {
            ["zone-a-0", "zone-b-0", "zone-c-0"].forEach(name => bench.upstreams.applyFaults(name, { hangRate: 1 }));
        }
        outcomes.push(bench.run(index % 3, MAX_ATTEMPTS));
        await bench.clock.run(INTERVAL_MS);
    }
    await bench.clock.run(END_MS);
    const failed = (await Promise.all(outcomes)).filter(({ kind }) => kind !== OutcomeKind.Done);
    assert.equal(failed, []);
});

test.run();
