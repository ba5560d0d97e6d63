import { suite } from "uvu";
import * as assert from "uvu/assert";
import { StoreUnavailableError } from "../../src/errors/index.js";
import { FakeClock } from "../../src/fakes/index.js";
import type { Member } from "../../src/head/index.js";
import { DecisionHistory } from "../../src/logging/index.js";
import { HostRegistrar } from "../../src/registry/index.js";
import { createMember } from "../support/createMember.js";

/** The platform's store may refuse the calls of some hosts for nine seconds and serve the others. */
const REFUSAL_MS = 9_000;

const test = suite("HostRegistrar");
let clock: FakeClock;
let calls: string[];
let isUnavailable: boolean;
let hasLapsed: boolean;
let entryMs: number;
/** When the entry lapses, in milliseconds of the clock. */
let entryEnd: number;
let registrar: HostRegistrar;
let decisions: DecisionHistory;

test.before.each(() => {
    clock = new FakeClock();
    calls = [];
    isUnavailable = false;
    hasLapsed = false;
    decisions = new DecisionHistory(clock);
    const run = async (call: string): Promise<void> => {
        calls.push(call);
        if (isUnavailable) {
            throw new StoreUnavailableError("away");
        }
    };
    const registry = {
        add: async (_: Member, durationMs: number) => {
            await run("add");
            entryMs = durationMs;
            entryEnd = clock.getTime() + entryMs;
        },
        renew: async () => {
            await run("renew");
            hasLapsed ||= clock.getTime() > entryEnd;
            entryEnd = clock.getTime() + entryMs;
            return !hasLapsed;
        },
        remove: () => run("remove"),
    };
    registrar = new HostRegistrar({ clock, decisions, registry, self: createMember(1) });
});

test.after.each(() => registrar.stop());

test("the entry is added once, then renewed", async () => {
    await registrar.start();
    await clock.run(10_000);
    assert.equal(calls, ["add", "renew", "renew", "renew"]);
});

test("an entry that has lapsed is added again at once", async () => {
    await registrar.start();
    await clock.run(2_000);
    hasLapsed = true;
    await clock.run(2_000);
    assert.equal(calls, ["add", "renew", "add"]);
});

test("an entry that the registry has dropped is added again without waiting for the next renewal", async () => {
    await registrar.start();
    await clock.run(1_000);
    registrar.restore();
    await clock.run(1);
    assert.equal(calls, ["add", "add"]);
});

test("calls to an unavailable registry are retried, and each failure is logged", async () => {
    isUnavailable = true;
    await registrar.start();
    await clock.run(1_200);
    assert.equal(calls, ["add", "add", "add"]);
    assert.is(decisions.find({}).length, 3);
    isUnavailable = false;
    await clock.run(1_000);
    assert.is(calls.filter(call => call === "renew").length, 0);
});

test("an entry outlasts a period in which the registry refuses the host's calls", async () => {
    await registrar.start();
    await clock.run(5_900);
    isUnavailable = true;
    await clock.run(REFUSAL_MS);
    isUnavailable = false;
    await clock.run(3_000);
    assert.equal([calls.filter(call => call === "add").length, hasLapsed], [1, false]);
});

test("a leaving host removes its entry and does not add or renew it again", async () => {
    await registrar.start();
    await clock.run(100);
    await registrar.leave();
    await clock.run(10_000);
    assert.equal(calls, ["add", "remove"]);
});

test.run();
