import { suite } from "uvu";
import * as assert from "uvu/assert";
import type { DispatchCall } from "../../../src/accounts/index.js";
import { RequestSlack } from "../../../src/accounts/placing/RequestSlack.js";
import { FakeClock } from "../../../src/fakes/index.js";

const TIMEOUT_MS = 4_000;
const TARGET_MS = 800;

const test = suite("RequestSlack");

test("a request may wait for its target less the route's usual time and the time that has passed", async () => {
    const clock = new FakeClock();
    const slacks = new RequestSlack(clock);
    const call = createCall(clock, "reads", TARGET_MS);
    slacks.recordUsual(call, 200);
    assert.is(slacks.getSlack(call), 600);
    await clock.run(250);
    assert.is(slacks.getSlack(call), 350);
    await clock.run(900);
    assert.is(slacks.getSlack(call), 0);
});

test("half of the target counts as the usual time of an unknown route, and half of the timeout as a missing target", () => {
    const clock = new FakeClock();
    const slacks = new RequestSlack(clock);
    assert.is(slacks.getSlack(createCall(clock, "reads", TARGET_MS)), 400);
    assert.is(slacks.getSlack(createCall(clock, "orders", undefined)), 1_000);
});

test.run();

function createCall(clock: FakeClock, name: string, targetMs: number | undefined): DispatchCall {
    const route = { name, ...(targetMs === undefined ? {} : { targetMs }) };
    return {
        request: { route, timeoutMs: TIMEOUT_MS },
        deadline: clock.getTime() + TIMEOUT_MS,
    } as unknown as DispatchCall;
}
