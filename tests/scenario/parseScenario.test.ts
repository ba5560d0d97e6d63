import { test } from "uvu";
import * as assert from "uvu/assert";
import { FindingsError } from "../../src/errors/index.js";
import { parseScenario, ScenarioRun } from "../../src/scenario/index.js";

test("everything wrong in a scenario file is reported together with its place", () => {
    const text =
        "name: x\nseeds: [1]\nhosts: 0\nsteps:\n  - { at: 0, do: kil, hosts: [1] }\n  - { at: -1, do: heal }\n";
    try {
        parseScenario(text);
        assert.unreachable();
    }
    catch (error) {
        assert.instance(error, FindingsError);
        const places = (error as FindingsError).findings.map(finding => finding.place);
        assert.equal(places, ["hosts", "steps.0.do", "steps.1.at"]);
    }
});

test("a broken expectation names its step and the seed", async () => {
    const text = "name: x\nseeds: [7]\nhosts: 3\nsteps:\n  - { at: 0, do: kill, hosts: [1, 2] }\n" +
        "  - { at: 4000, do: expect, current: [0, 1, 2] }\n";
    const { findings } = await new ScenarioRun(parseScenario(text), 7).run();
    assert.equal(findings, ["step 1, seed 7: the hosts 0 are current"]);
});

test.run();
