import { test } from "uvu";
import * as assert from "uvu/assert";
import { checkTargets, createScenario, type Measurement, type ScenarioComparison } from "../../src/measure/index.js";
import { readDeployment, ScenarioKind } from "../../src/measure/index.js";

const healthy: Measurement = {
    detectionMs: undefined,
    falseEjections: 0,
    worstGoodShare: 1,
    worstAccount: "a",
    goodShares: { a: 1, b: 0.9 },
    worstP99Ms: 10,
    refusedInsideRate: 0,
    unsettled: 0,
    latenessP99Ms: 0,
    violations: 0,
};

test("figures at the bounds meet the targets, and figures beyond them miss them", async () => {
    const met = [
        await createComparison(ScenarioKind.GrayErrors, { detectionMs: 1_000 }, { detectionMs: 3_000 }),
        await createComparison(ScenarioKind.Healthy, {}, {}),
        await createComparison(ScenarioKind.AccountOverRate, { goodShares: { a: 0.95, b: 0.9 } }, {}),
        await createComparison(ScenarioKind.HostKilled, { refusedInsideRate: 0.0099 }, {}),
    ];
    assert.equal(checkTargets(met).map(check => check.isMet), [true, true, true, true, true, true]);
    const missed = [
        await createComparison(ScenarioKind.GrayErrors, { detectionMs: 1_001, falseEjections: 1 }, {
            detectionMs: 3_000,
        }),
        await createComparison(ScenarioKind.Healthy, { falseEjections: 1, refusedInsideRate: 0.001 }, {}),
        await createComparison(ScenarioKind.AccountOverRate, { goodShares: { a: 1, b: 0.8 } }, {}),
        await createComparison(ScenarioKind.HostKilled, { refusedInsideRate: 0.01 }, {}),
    ];
    assert.equal(checkTargets(missed).map(check => check.isMet), [false, false, false, false, false, false]);
});

test("a faulty upstream that was not detected misses the target, even if the baseline did not detect it either", async () => {
    const comparison = await createComparison(ScenarioKind.GrayErrors, {}, {});
    assert.is(checkTargets([comparison])[0]?.isMet, false);
});

test.run();

async function createComparison(
    kind: ScenarioKind,
    standard: Partial<Measurement>,
    baseline: Partial<Measurement>,
): Promise<ScenarioComparison> {
    const scenario = createScenario(kind, await readDeployment("kelom"));
    return { scenario, standard: [{ ...healthy, ...standard }], baseline: [{ ...healthy, ...baseline }] };
}
