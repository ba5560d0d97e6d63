import { test } from "uvu";
import * as assert from "uvu/assert";
import { SystemClock } from "../../src/time/index.js";

test("a delay beyond the longest of a timer does not end at once", async () => {
    const clock = new SystemClock();
    const ended: string[] = [];
    const controller = new AbortController();
    const call = clock.schedule(1e12, () => ended.push("call"));
    const waiting = clock.wait(1e300, controller.signal).then(() => ended.push("wait"), () => ended.push("aborted"));
    await clock.wait(20);
    call.cancel();
    controller.abort();
    await waiting;
    assert.equal(ended, ["aborted"]);
});

test.run();
