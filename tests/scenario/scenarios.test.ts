import { readdirSync, readFileSync } from "node:fs";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { parseScenario, type ScenarioResult, ScenarioRun } from "../../src/scenario/index.js";
import { checkSnapshot } from "../support/checkSnapshot.js";

const FOLDER = "tests/scenarios";

for (const file of readdirSync(FOLDER).sort()) {
    const scenario = parseScenario(readFileSync(`${FOLDER}/${file}`, "utf8"));
    test(scenario.name, async () => {
        const results: ScenarioResult[] = [];
        for (const seed of scenario.seeds) {
            results.push(await new ScenarioRun(scenario, seed).run());
        }
        assert.equal(results.flatMap(result => result.findings), []);
        checkSnapshot(`scenario/${file.replace(".yaml", "")}`, results.map(result => result.trace));
    });
}

test.run();
