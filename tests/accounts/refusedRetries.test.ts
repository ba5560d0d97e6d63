import { test } from "uvu";
import * as assert from "uvu/assert";
import { Decision } from "../../src/logging/index.js";
import { OutcomeKind, RefusalReason } from "../../src/outcomes/index.js";
import { DispatchBench } from "../support/DispatchBench.js";
import { runClockUntil } from "../support/runClockUntil.js";

const LOOKUPS = 40;
const MAX_ATTEMPTS = 3;

/** The log didn't tell a retry that another host refused from one that was never sent. */
test("the caller's host says which host refused the retry of a request that may have run, and why", async () => {
    const bench = new DispatchBench({ hosts: 3, serviceTimeMs: 20, service: { retryBudget: 0, retryBurst: 0 } });
    bench.applyFailures();
    for (let index = 0; index < LOOKUPS; index++) {
        const outcome = await runClockUntil(bench.clock, bench.run(0, MAX_ATTEMPTS));
        assert.is(outcome!.kind, OutcomeKind.Done);
    }
    const refused = bench.decisions.find({}).filter(({ decision }) => decision === Decision.RetryRefused);
    assert.ok(refused.some(({ reason }) => reason === RefusalReason.RetryBudgetSpent));
    assert.ok(refused.every(({ member, figures }) => member !== undefined && figures?.["attempt"] !== 1));
});

test.run();
