import { test } from "uvu";
import * as assert from "uvu/assert";
import { Decision } from "../../src/logging/index.js";
import type { DecisionRecord } from "../../src/logging/index.js";
import { OutcomeKind, RefusalReason } from "../../src/outcomes/index.js";
import { DispatchBench } from "../support/DispatchBench.js";
import { runClockUntil } from "../support/runClockUntil.js";

const LOOKUPS = 40;
const MAX_ATTEMPTS = 3;
const OWN_BUDGET_REASON = "own-retry-budget-spent";

/** The log didn't tell a retry that another host refused from one that was never sent. */
test("the caller's host says which host refused the retry of a request that may have run, and why", async () => {
    const bench = new DispatchBench({ hosts: 3, serviceTimeMs: 20, service: { retryBudget: 0, retryBurst: 0 } });
    bench.applyFailures();
    for (let index = 0; index < LOOKUPS; index++) {
        const outcome = await runClockUntil(bench.clock, bench.run(0, MAX_ATTEMPTS));
        assert.is(outcome!.kind, OutcomeKind.Done);
    }
    const refused = findRefused(bench).filter(({ reason }) => reason !== OWN_BUDGET_REASON);
    assert.ok(refused.some(({ reason }) => reason === RefusalReason.RetryBudgetSpent));
    assert.ok(refused.every(({ member, figures }) => member !== undefined && figures?.["attempt"] !== 1));
});

/** Nothing told a retry that the caller's host itself had no budget for from a request that was not retried at all. */
test("the caller's host says that it refused a retry itself for lack of budget", async () => {
    const bench = new DispatchBench({ hosts: 1, serviceTimeMs: 20, service: { retryBudget: 0 } });
    bench.applyFailures();
    for (let index = 0; index < LOOKUPS; index++) {
        await runClockUntil(bench.clock, bench.run(0, MAX_ATTEMPTS));
    }
    assert.ok(findRefused(bench).some(({ reason, member }) => reason === OWN_BUDGET_REASON && member === undefined));
});

test.run();

function findRefused(bench: DispatchBench): readonly DecisionRecord[] {
    return bench.decisions.find({}).filter(({ decision }) => decision === Decision.RetryRefused);
}
