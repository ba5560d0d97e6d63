import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createReplicaFleet } from "../support/createReplicaFleet.js";

/** The platform's bound for a change to be in force on all hosts, in milliseconds. */
const APPLY_BOUND_MS = 2_000;
const LARGE_APPLY_BOUND_MS = 2_500;
const ZONES = 3;
const LOST_WRITES = 40;

const test = suite("a store that returns from an older copy");

for (
    const { hosts, boundMs } of [{ hosts: 12, boundMs: APPLY_BOUND_MS }, { hosts: 94, boundMs: LARGE_APPLY_BOUND_MS }]
) {
    test(`a change that is written after the return reaches all ${hosts} hosts within the bound`, async () => {
        const fleet = await createRestoredFleet(hosts);
        fleet.store.write("configuration", "after");
        await fleet.clock.run(boundMs);
        assert.equal(fleet.getHostsWithout("configuration", "after"), []);
    });
}

test("hosts that the store refuses follow it through others, and no host returns to the earlier history", async () => {
    const fleet = await createRestoredFleet(12, 4);
    for (let step = 0; step < 30; step++) {
        await fleet.clock.run(100);
        const refused = step < 20 ? 4 : 0;
        fleet.getWatchRanking().slice(0, 12).forEach((id, index) =>
            index < refused ? fleet.store.refused.add(id) : fleet.store.refused.delete(id)
        );
    }
    assert.equal(fleet.getHostsWithout("configuration", "copied"), []);
    fleet.store.write("configuration", "after");
    await fleet.clock.run(APPLY_BOUND_MS);
    for (let step = 0; step < 50; step++) {
        await fleet.clock.run(100);
        assert.equal(fleet.getHostsWithout("configuration", "after"), []);
    }
});

test("revisions that are given out again are not taken for those of the earlier history", async () => {
    const fleet = await createRestoredFleet(12);
    for (let index = 0; index < LOST_WRITES; index++) {
        fleet.store.write("configuration", `again ${index}`);
    }
    fleet.store.write(`item ${LOST_WRITES - 1}`, "after");
    await fleet.clock.run(APPLY_BOUND_MS);
    assert.equal(fleet.getHostsWithout("configuration", `again ${LOST_WRITES - 1}`), []);
    assert.equal(fleet.getHostsWithout(`item ${LOST_WRITES - 1}`, "after"), []);
    assert.equal(fleet.getHostsWithout("item 0", undefined), []);
});

test("a store that has already passed the known revision again is read anew", async () => {
    const fleet = createReplicaFleet(12);
    await fleet.start();
    const copy = fleet.store.createCopy();
    fleet.store.write("lost", "before");
    await fleet.clock.run(APPLY_BOUND_MS);
    fleet.store.restoreCopy(copy);
    for (let index = 0; index < LOST_WRITES; index++) {
        fleet.store.write(`item ${index}`, "after");
    }
    await fleet.clock.run(APPLY_BOUND_MS);
    assert.equal(fleet.getHostsWithout("lost", undefined), []);
    assert.equal(fleet.getHostsWithout("item 0", "after"), []);
});

test("the store is asked no more after the return than before", async () => {
    const fleet = await createRestoredFleet(12);
    await fleet.clock.run(APPLY_BOUND_MS);
    const before = fleet.store.calls;
    await fleet.clock.run(10_000);
    assert.ok(fleet.store.calls - before <= ZONES * 11, `${fleet.store.calls - before} calls in 10 s`);
});

test("a second return is followed like the first", async () => {
    const fleet = await createRestoredFleet(12);
    await fleet.clock.run(APPLY_BOUND_MS);
    const copy = fleet.store.createCopy();
    fleet.store.write("configuration", "lost");
    await fleet.clock.run(APPLY_BOUND_MS);
    fleet.store.restoreCopy(copy);
    await fleet.clock.run(APPLY_BOUND_MS);
    assert.equal(fleet.getHostsWithout("configuration", "copied"), []);
});

test.run();

/** Creates a fleet whose store has just lost changes that all hosts know. */
async function createRestoredFleet(hosts: number, refusedHosts = 0): Promise<ReturnType<typeof createReplicaFleet>> {
    const fleet = createReplicaFleet(hosts);
    await fleet.start();
    fleet.store.write("configuration", "copied");
    await fleet.clock.run(LARGE_APPLY_BOUND_MS);
    const copy = fleet.store.createCopy();
    for (let index = 0; index < LOST_WRITES; index++) {
        fleet.store.write(`item ${index}`, "before");
    }
    fleet.store.write("configuration", "lost");
    await fleet.clock.run(LARGE_APPLY_BOUND_MS);
    assert.equal(fleet.getHostsWithout("configuration", "lost"), []);
    fleet.getWatchRanking().slice(0, refusedHosts).forEach(id => fleet.store.refused.add(id));
    fleet.store.restoreCopy(copy);
    return fleet;
}
