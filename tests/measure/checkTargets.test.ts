import { test } from "uvu";
import * as assert from "uvu/assert";
import { checkTargets, createScenario, type MeasuredPair, type Measurement } from "../../src/measure/index.js";
import { readDeployment, ScenarioKind } from "../../src/measure/index.js";

const good: Measurement = {
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

test("figures at their bounds meet the targets, figures beyond them miss", async () => {
    const pairs = [
        await createPair(ScenarioKind.GrayErrors, { detectionMs: 1_000 }, { detectionMs: 3_000 }),
        await createPair(ScenarioKind.Healthy, {}, {}),
        await createPair(ScenarioKind.BusyAccount, { goodShares: { a: 0.95, b: 0.9 } }, {}),
        await createPair(ScenarioKind.HostKilled, { refusedInsideRate: 0.0099 }, {}),
    ];
    assert.equal(checkTargets(pairs).map(check => check.isMet), [true, true, true, true, true, true]);
    const missed = [
        await createPair(ScenarioKind.GrayErrors, { detectionMs: 1_001, falseEjections: 1 }, { detectionMs: 3_000 }),
        await createPair(ScenarioKind.Healthy, { falseEjections: 1, refusedInsideRate: 0.001 }, {}),
        await createPair(ScenarioKind.BusyAccount, { goodShares: { a: 1, b: 0.8 } }, {}),
        await createPair(ScenarioKind.HostKilled, { refusedInsideRate: 0.01 }, {}),
    ];
    assert.equal(checkTargets(missed).map(check => check.isMet), [false, false, false, false, false, false]);
});

test("an upstream that was not detected misses the target, whatever the baseline did", async () => {
    const pair = await createPair(ScenarioKind.GrayErrors, {}, {});
    assert.is(checkTargets([pair])[0]?.isMet, false);
});

test.run();

async function createPair(
    kind: ScenarioKind,
    standard: Partial<Measurement>,
    baseline: Partial<Measurement>,
): Promise<MeasuredPair> {
    const scenario = createScenario(kind, await readDeployment("kelom"));
    return { scenario, standard: [{ ...good, ...standard }], baseline: [{ ...good, ...baseline }] };
}
