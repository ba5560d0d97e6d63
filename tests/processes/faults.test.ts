import { test } from "uvu";
import * as assert from "uvu/assert";
import type { LoadReport } from "../../src/load/index.js";
import { ProcessBench } from "../support/ProcessBench.js";

const bench = new ProcessBench();

test.before(() => bench.start());
test.after(() => bench.fleet.stop());

test("a planned stop under load cuts no request", async () => {
    const report = await bench.run([{ kind: "signal", atMs: 2000, process: "entry-1", signal: "SIGTERM" }]);
    assert.is(await bench.fleet.getEntryOrThrow(1).wait(), 0);
    checkSafety(report);
    assert.equal(getCounts(report, account => account.failed), {});
    assert.equal(getCounts(report, account => account.unknown), {});
});

test("killed and frozen entry hosts double, lose and leak nothing, and no refusal is false", async () => {
    const report = await bench.run([
        { kind: "signal", atMs: 1500, process: "entry-2", signal: "SIGKILL" },
        { kind: "signal", atMs: 3000, process: "entry-3", signal: "SIGSTOP" },
        { kind: "signal", atMs: 6500, process: "entry-3", signal: "SIGCONT" },
    ]);
    checkSafety(report);
});

test("an outage of the store and lost answers leave lookups served and orders safe", async () => {
    const report = await bench.run([
        { kind: "control", atMs: 1000, target: "store", body: { isAway: true } },
        { kind: "control", atMs: 5000, target: "store", body: { isAway: false, losesWriteAnswers: true } },
        { kind: "control", atMs: 7000, target: "store", body: { losesWriteAnswers: false } },
    ]);
    checkSafety(report);
});

test("crashing and gray upstreams double and lose no order", async () => {
    const report = await bench.run([
        { kind: "control", atMs: 1000, target: "orders", body: { upstreams: ["orders-01"], errorShare: 0.5 } },
        { kind: "control", atMs: 1000, target: "orders", body: { upstreams: ["orders-02"], cutShare: 0.5 } },
        { kind: "control", atMs: 2000, target: "orders", body: { upstreams: ["orders-03"], crash: true } },
        { kind: "control", atMs: 3000, target: "orders", body: { upstreams: ["orders-04"], stopTraffic: true } },
    ]);
    checkSafety(report);
});

test.run();

function checkSafety(report: LoadReport): void {
    const { doubles, lost, falseRefusals, leakedKeys, wrongAccounts, examples } = report.audit!;
    const counts = { doubles, lost, falseRefusals, leakedKeys, wrongAccounts, unaccounted: report.unaccounted };
    const none = { doubles: 0, lost: 0, falseRefusals: 0, leakedKeys: 0, wrongAccounts: 0, unaccounted: 0 };
    assert.equal(counts, none, examples.join("\n"));
    assert.is(report.accounts.reduce((sum, account) => sum + account.wrong, 0), 0);
    assert.ok(report.accounts.some(account => account.done > 0));
}

function getCounts(
    report: LoadReport,
    select: (account: LoadReport["accounts"][number]) => Readonly<Record<string, number>>,
): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const [reason, count] of report.accounts.flatMap(account => Object.entries(select(account)))) {
        counts[reason] = (counts[reason] ?? 0) + count;
    }
    return counts;
}
