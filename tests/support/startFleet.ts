import * as assert from "uvu/assert";
import { FakeFleet } from "../../src/fakes/index.js";

const START_TIMEOUT_MS = 60_000;

/**
 * Starts a fleet of hosts 0, 1, … and waits until each is a current member of one view.
 * @param seed - Seed of the random numbers.
 * @param count - Number of hosts.
 */
export async function startFleet(seed: number, count: number): Promise<FakeFleet> {
    const fleet = new FakeFleet(seed);
    fleet.start(...Array.from({ length: count }, (_, index) => index));
    assert.ok(await fleet.wait(() => fleet.isSettled(), START_TIMEOUT_MS), "the fleet did not settle");
    return fleet;
}
