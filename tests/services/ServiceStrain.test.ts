import { test } from "uvu";
import * as assert from "uvu/assert";
import { FakeClock } from "../../src/fakes/index.js";
import { UnservedRateMonitor } from "../../src/services/UnservedRateMonitor.js";

test("a service is strained from seven unserved requests in a hundred on, and no longer than two seconds after", async () => {
    const clock = new FakeClock();
    const strain = new UnservedRateMonitor(clock);
    recordMany(strain, 93, 7);
    assert.is(strain.isUnservedRateHigh(), false);
    recordMany(strain, 0, 1);
    assert.is(strain.isUnservedRateHigh(), true);
    await clock.run(2_000);
    assert.is(strain.isUnservedRateHigh(), false);
    assert.equal(strain.getCounts(), { requests: 0, unserved: 0 });
});

test("a few requests say nothing", () => {
    const strain = new UnservedRateMonitor(new FakeClock());
    recordMany(strain, 0, 9);
    assert.is(strain.isUnservedRateHigh(), false);
});

test("what other zones say counts for two seconds, and a host that serves nothing does not hide the one that took over", async () => {
    const clock = new FakeClock();
    const strain = new UnservedRateMonitor(clock);
    recordMany(strain, 50, 0);
    strain.recordRemote("b", { requests: 50, unserved: 20 });
    strain.recordRemote("b", { requests: 0, unserved: 0 });
    assert.is(strain.isUnservedRateHigh(), true);
    await clock.run(2_100);
    recordMany(strain, 50, 0);
    assert.is(strain.isUnservedRateHigh(), false);
});

test.run();

function recordMany(strain: UnservedRateMonitor, served: number, unserved: number): void {
    for (let index = 0; index < served + unserved; index++) {
        strain.record(index < served);
    }
}
