import { test } from "uvu";
import * as assert from "uvu/assert";
import { FakeClock } from "../../src/fakes/index.js";
import { UnservedRateMonitor } from "../../src/services/detection/UnservedRateMonitor.js";

test("the unserved rate is high above seven requests in a hundred, for at most two seconds", async () => {
    const clock = new FakeClock();
    const monitor = new UnservedRateMonitor(clock);
    recordMany(monitor, 93, 7);
    assert.is(monitor.isUnservedRateHigh(), false);
    recordMany(monitor, 0, 1);
    assert.is(monitor.isUnservedRateHigh(), true);
    await clock.run(2_000);
    assert.is(monitor.isUnservedRateHigh(), false);
    assert.equal(monitor.getCounts(), { requests: 0, unserved: 0 });
});

test("fewer than ten requests are too few for a high unserved rate", () => {
    const monitor = new UnservedRateMonitor(new FakeClock());
    recordMany(monitor, 0, 9);
    assert.is(monitor.isUnservedRateHigh(), false);
});

test("counts of another zone expire after two seconds, and empty counts do not replace those of the host that took over", async () => {
    const clock = new FakeClock();
    const monitor = new UnservedRateMonitor(clock);
    recordMany(monitor, 50, 0);
    monitor.recordRemote("b", { requests: 50, unserved: 20 });
    monitor.recordRemote("b", { requests: 0, unserved: 0 });
    assert.is(monitor.isUnservedRateHigh(), true);
    await clock.run(2_100);
    recordMany(monitor, 50, 0);
    assert.is(monitor.isUnservedRateHigh(), false);
});

test.run();

function recordMany(monitor: UnservedRateMonitor, served: number, unserved: number): void {
    for (let index = 0; index < served + unserved; index++) {
        monitor.record(index < served);
    }
}
