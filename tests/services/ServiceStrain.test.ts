import { test } from "uvu";
import * as assert from "uvu/assert";
import { FakeClock } from "../../src/fakes/index.js";
import { ServiceStrain } from "../../src/services/ServiceStrain.js";

test("a service is strained from seven unserved requests in a hundred on, and no longer than two seconds after", async () => {
    const clock = new FakeClock();
    const strain = new ServiceStrain(clock);
    recordMany(strain, 93, 7);
    assert.is(strain.isStrained(), false);
    recordMany(strain, 0, 1);
    assert.is(strain.isStrained(), true);
    await clock.run(2_000);
    assert.is(strain.isStrained(), false);
    assert.equal(strain.getSummary(), { requests: 0, unserved: 0 });
});

test("a few requests say nothing", () => {
    const strain = new ServiceStrain(new FakeClock());
    recordMany(strain, 0, 9);
    assert.is(strain.isStrained(), false);
});

test("what other zones say counts for two seconds, and a host that serves nothing does not hide the one that took over", async () => {
    const clock = new FakeClock();
    const strain = new ServiceStrain(clock);
    recordMany(strain, 50, 0);
    strain.recordRemote("b", { requests: 50, unserved: 20 });
    strain.recordRemote("b", { requests: 0, unserved: 0 });
    assert.is(strain.isStrained(), true);
    await clock.run(2_100);
    recordMany(strain, 50, 0);
    assert.is(strain.isStrained(), false);
});

test.run();

function recordMany(strain: ServiceStrain, served: number, unserved: number): void {
    for (let index = 0; index < served + unserved; index++) {
        strain.record(index < served);
    }
}
