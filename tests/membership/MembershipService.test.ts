import { test } from "uvu";
import * as assert from "uvu/assert";
import { FakeFleet } from "../../src/fakes/index.js";
import { FRESHNESS_BOUND_MS } from "../../src/membership/index.js";

const START_TIMEOUT_MS = 60_000;

test("hosts that start together form one view in few writes", async () => {
    const fleet = await startFleet(1, 12);
    const { version } = fleet.get(0).membership.getHead()!;
    assert.ok(version < 12, `${version} changes of the head for 12 joins`);
});

test("an isolated host stops serving within the bound and serves again after the cut", async () => {
    const fleet = await startFleet(2, 5);
    fleet.get(4).store.isCut = true;
    fleet.route([4], [0, 1, 2, 3], false);
    fleet.route([0, 1, 2, 3], [4], false);
    await fleet.clock.run(FRESHNESS_BOUND_MS + 1);
    assert.equal(fleet.getCurrent(), [0, 1, 2, 3]);
    fleet.get(4).store.isCut = false;
    assert.ok(await fleet.wait(() => fleet.getCurrent().length === 5, START_TIMEOUT_MS));
});

test.run();

async function startFleet(seed: number, count: number): Promise<FakeFleet> {
    const fleet = new FakeFleet(seed);
    fleet.start(...Array.from({ length: count }, (_, index) => index));
    assert.ok(await fleet.wait(() => fleet.isSettled(), START_TIMEOUT_MS), "the fleet did not settle");
    return fleet;
}
