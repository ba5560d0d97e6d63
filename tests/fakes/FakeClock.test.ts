import { test } from "uvu";
import * as assert from "uvu/assert";
import { FakeClock } from "../../src/fakes/index.js";

test("runs what is due in order of time", async () => {
    const clock = new FakeClock();
    const seen: string[] = [];
    clock.schedule(20, () => seen.push(`second at ${clock.getTime()}`));
    clock.schedule(10, () => seen.push(`first at ${clock.getTime()}`));
    clock.schedule(31, () => seen.push("too late"));
    await clock.run(30);
    assert.equal(seen, ["first at 10", "second at 20"]);
    assert.is(clock.getTime(), 30);
});

test("a wait ends with the signal's reason when it is aborted", async () => {
    const clock = new FakeClock();
    const controller = new AbortController();
    const wait = clock.wait(10, controller.signal).then(() => "ended", (error: Error) => error.message);
    controller.abort(new Error("stopped"));
    assert.is(await wait, "stopped");
});

test.run();
