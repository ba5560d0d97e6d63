import { readFile } from "node:fs/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { parseExperiment } from "../../src/load/index.js";
import { readDeployment } from "../../src/measure/index.js";

const targets = { catalogue: "http://127.0.0.1:2", register: "http://127.0.0.1:2", operator: "http://127.0.0.1:3" };

for (const name of ["kelom", "guild"]) {
    test(`the experiment of ${name} is sound and has a key for every account`, async () => {
        const { keys } = await readDeployment(name);
        const content = JSON.parse(await readFile(`examples/${name}/experiment.json`, "utf8")) as unknown;
        const place = { entries: ["http://127.0.0.1:1"], records: [], targets, processes: {}, keys };
        const experiment = parseExperiment(content, place);
        assert.ok(experiment.accounts.every(account => account.key === keys[account.name]));
    });
}

test.run();
