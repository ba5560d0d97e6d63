import { test } from "uvu";
import * as assert from "uvu/assert";
import { RandomFaults } from "../support/RandomFaults.js";

const DURATION_MS = 60_000;
const SEEDS = Array.from({ length: 30 }, (_, index) => index + 1);

test("no host is current with a head older than one accepted more than the freshness bound ago", async () => {
    let acceptedChanges = 0;
    for (const seed of SEEDS) {
        const faults = new RandomFaults(seed);
        await faults.run(DURATION_MS);
        acceptedChanges += faults.acceptedChanges;
        assert.equal(faults.violations.slice(0, 1), [], `seed ${seed}\n${faults.trace.join("\n")}`);
    }
    assert.ok(acceptedChanges > SEEDS.length, `${acceptedChanges} changes were accepted`);
});

test.run();
