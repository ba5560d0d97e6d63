import { suite } from "uvu";
import * as assert from "uvu/assert";
import { FakeClock } from "../../src/fakes/index.js";
import { HostReports } from "../../src/replica/HostReports.js";

const test = suite("HostReports");
let clock: FakeClock;

test.before.each(() => {
    clock = new FakeClock();
});

test("a report that hosts pass around in a circle keeps its age and expires", async () => {
    const hosts = ["a", "b", "c"].map(id => new HostReports(clock, id));
    hosts[0]!.recordSilent("x");
    for (let step = 0; step < 700; step++) {
        const reports = hosts[step % 3]!.createReports(clock.getTime());
        await clock.run(10);
        hosts[(step + 1) % 3]!.merge(reports, clock.getTime());
    }
    assert.equal(hosts.map(host => host.isSilent("x")), [false, false, false]);
});

test("a newer report that a host answers again replaces the report that it is silent, also if the older one arrives later", async () => {
    const [near, far] = [new HostReports(clock, "near"), new HostReports(clock, "far")];
    near.recordSilent("x");
    const older = near.createReports(clock.getTime());
    far.merge(older, clock.getTime());
    assert.is(far.isSilent("x"), true);
    await clock.run(500);
    near.recordContact("x");
    far.merge(near.createReports(clock.getTime()), clock.getTime());
    far.merge(older, clock.getTime());
    assert.is(far.isSilent("x"), false);
});

test("a host that receives a report of its own silence reports that it answers", async () => {
    const [reporter, self] = [new HostReports(clock, "reporter"), new HostReports(clock, "x")];
    reporter.recordSilent("x");
    await clock.run(10);
    self.merge(reporter.createReports(clock.getTime()), clock.getTime());
    reporter.merge(self.createReports(clock.getTime()), clock.getTime());
    assert.is(reporter.isSilent("x"), false);
});

test.run();
