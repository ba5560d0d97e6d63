import { test } from "uvu";
import * as assert from "uvu/assert";
import type { AccountReport, LoadReport } from "../../src/load/index.js";
import { createMeasurement } from "../../src/measure/createMeasurement.js";
import { createScenario } from "../../src/measure/createScenario.js";
import { findLookupService } from "../../src/measure/findLookupService.js";
import { formatMeasurements } from "../../src/measure/formatMeasurements.js";
import { parseDecision } from "../../src/measure/parseDecision.js";
import { readDeployment } from "../../src/measure/readDeployment.js";
import { ScenarioKind } from "../../src/measure/ScenarioKind.js";
import { checkSnapshot } from "../support/checkSnapshot.js";

const account: AccountReport = {
    account: "a",
    requestKind: "lookup",
    sent: 100,
    done: 90,
    doneWithError: 2,
    refused: { overloaded: 6 },
    unknown: { "connection-lost": 3 },
    failed: { lost: 1 },
    wrong: 0,
    attempts: 100,
    p50Ms: 10,
    p99Ms: 30,
    maxMs: 40,
};
const report: LoadReport = {
    name: "n",
    seed: 1,
    startedAt: 1_000,
    durationMs: 30_000,
    latenessP99Ms: 2,
    accounts: [account, {
        ...account,
        account: "b",
        done: 98,
        doneWithError: 0,
        refused: {},
        unknown: {},
        failed: { lost: 2 },
    }],
    faults: [{ description: "fault", causedAt: 9_000, failure: undefined }],
    unaccounted: 0,
    audit: undefined,
    auditFailure: undefined,
    isClean: true,
};

test("the figures of a run are computed from the report and the logged decisions", async () => {
    const deployment = await readDeployment("kelom");
    const scenario = createScenario(ScenarioKind.GrayErrors, deployment);
    const [faulty, healthy] = findLookupService(deployment).upstreams.map(upstream => upstream.name);
    const decisions = [
        createDecision(faulty!, 500),
        createDecision(faulty!, 2_000),
        createDecision(healthy!, 9_500),
        createDecision(faulty!, 9_800),
        createDecision(faulty!, 15_000),
    ];
    const figures = createMeasurement(scenario, report, decisions);
    assert.is(figures.detectionMs, 800);
    assert.is(figures.falseEjections, 2);
    assert.equal([figures.worstAccount, figures.worstGoodShare], ["a", 0.88]);
    assert.is(figures.refusedInsideRate, 0.03);
    assert.is(figures.unsettled, 0.03);
    checkSnapshot("measure/table", formatMeasurements("kelom", [{ scenario, standard: [figures], baseline: [] }]));
});

test("log lines that hold no decision are ignored", () => {
    assert.is(parseDecision("text"), undefined);
    assert.is(parseDecision("{\"msg\":\"started\"}"), undefined);
});

test.run();

function createDecision(upstream: string, time: number): NonNullable<ReturnType<typeof parseDecision>> {
    return parseDecision(
        JSON.stringify({ decision: "ejected", upstream, time: new Date(time).toISOString() }),
    )!;
}
