import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createSoakPlan } from "./plan/createSoakPlan.js";
import { SoakProfile } from "./plan/SoakProfile.js";
import { runSoak } from "./runSoak.js";

const SIZE = { hosts: 4, steps: 16 };

const test = suite("a short soak of real processes, without the promises that hold within a time");

/** Connections that a fault has left half closed stay open in this process; the result is out by then. */
const EXIT_MS = 2_000;

test.after(() => {
    setTimeout(() => process.exit(), EXIT_MS);
});

for (const seed of [1, 2]) {
    test(`seed ${seed} breaks no promise`, () => runSeed(seed, SoakProfile.Faults));
}

test("seed 1 under pressure breaks no promise", () => runSeed(1, SoakProfile.Pressure));

test.run();

async function runSeed(seed: number, profile: SoakProfile): Promise<void> {
    const { findings, calls } = await runSoak(createSoakPlan(seed, { ...SIZE, profile }), undefined);
    assert.equal(findings, []);
    assert.ok([...calls.values()].some(({ response }) => response?.status === 200));
}
