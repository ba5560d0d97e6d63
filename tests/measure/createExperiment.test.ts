import { test } from "uvu";
import * as assert from "uvu/assert";
import { parseExperiment } from "../../src/load/index.js";
import { createExperiment } from "../../src/measure/createExperiment.js";
import { createScenario } from "../../src/measure/createScenario.js";
import { readDeployment } from "../../src/measure/readDeployment.js";
import { ScenarioKind } from "../../src/measure/ScenarioKind.js";

const entries = ["http://127.0.0.1:1"];
const targets = { catalogue: "http://127.0.0.1:2", register: "http://127.0.0.1:2", store: "http://127.0.0.1:3" };

for (const name of ["kelom", "guild"]) {
    test(`each experiment of ${name} is valid, and only its over-rate account exceeds its rate`, async () => {
        const deployment = await readDeployment(name);
        for (const kind of Object.values(ScenarioKind)) {
            const scenario = createScenario(kind, deployment);
            const place = { entries, records: [], targets, processes: { "entry-2": 2 }, keys: deployment.keys };
            const experiment = parseExperiment(createExperiment(scenario, deployment, 1), place);
            const accounts = Object.values(deployment.document.sections).flatMap(section => section.accounts ?? []);
            for (const account of experiment.accounts) {
                assert.ok(account.key !== undefined);
                assert.ok(account.rate < accounts.find(other => other.name === account.name)!.rate);
                assert.is(account.phases.length > 0, account.name === scenario.hotAccount);
            }
        }
    });
}

test.run();
