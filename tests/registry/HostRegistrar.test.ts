import { suite } from "uvu";
import * as assert from "uvu/assert";
import { StoreUnavailableError } from "../../src/errors/index.js";
import { FakeClock } from "../../src/fakes/index.js";
import { DecisionHistory } from "../../src/logging/index.js";
import { HostRegistrar } from "../../src/registry/index.js";
import { createMember } from "../support/createMember.js";

const test = suite("HostRegistrar");
let clock: FakeClock;
let calls: string[];
let isAway: boolean;
let hasLapsed: boolean;
let registrar: HostRegistrar;
let decisions: DecisionHistory;

test.before.each(() => {
    clock = new FakeClock();
    calls = [];
    isAway = false;
    hasLapsed = false;
    decisions = new DecisionHistory(clock);
    const run = async (call: string): Promise<void> => {
        calls.push(call);
        if (isAway) {
            throw new StoreUnavailableError("away");
        }
    };
    const registry = {
        add: () => run("add"),
        renew: async () => {
            await run("renew");
            return !hasLapsed;
        },
        remove: () => run("remove"),
    };
    registrar = new HostRegistrar({ clock, decisions, registry, self: createMember(1) });
});

test.after.each(() => registrar.stop());

test("the entry is added once and renewed", async () => {
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

test("a registry that is away is tried again, and each failure is logged", async () => {
    isAway = true;
    await registrar.start();
    await clock.run(1_200);
    assert.equal(calls, ["add", "add", "add"]);
    assert.is(decisions.find({}).length, 3);
    isAway = false;
    await clock.run(1_000);
    assert.is(calls.filter(call => call === "renew").length, 0);
});

test("a host that leaves removes its entry and does not wait long for it", async () => {
    await registrar.start();
    await clock.run(100);
    await registrar.leave();
    await clock.run(10_000);
    assert.equal(calls, ["add", "remove"]);
});

test.run();
