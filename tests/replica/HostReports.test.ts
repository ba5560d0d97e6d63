import { suite } from "uvu";
import * as assert from "uvu/assert";
import { FakeClock } from "../../src/fakes/index.js";
import { HostReports } from "../../src/replica/HostReports.js";

const test = suite("HostReports");
let clock: FakeClock;

test.before.each(() => {
    clock = new FakeClock();
});

test("a report that goes round among hosts grows no younger and lapses", async () => {
    const hosts = ["a", "b", "c"].map(id => new HostReports(clock, id));
    hosts[0]!.recordSilent("x");
    for (let step = 0; step < 700; step++) {
        const reports = hosts[step % 3]!.createReports(clock.getTime());
        await clock.run(10);
        hosts[(step + 1) % 3]!.merge(reports, clock.getTime());
    }
    assert.equal(hosts.map(host => host.isSilent("x")), [false, false, false]);
});

test("a host that is heard again is trusted by those who are told, also if an older report comes late", async () => {
    const [near, far] = [new HostReports(clock, "near"), new HostReports(clock, "far")];
    near.recordSilent("x");
    const late = near.createReports(clock.getTime());
    far.merge(late, clock.getTime());
    assert.is(far.isSilent("x"), true);
    await clock.run(500);
    near.recordContact("x");
    far.merge(near.createReports(clock.getTime()), clock.getTime());
    far.merge(late, clock.getTime());
    assert.is(far.isSilent("x"), false);
});

test("a host that is told that it is silent says that it isn't", async () => {
    const [teller, self] = [new HostReports(clock, "teller"), new HostReports(clock, "x")];
    teller.recordSilent("x");
    await clock.run(10);
    self.merge(teller.createReports(clock.getTime()), clock.getTime());
    teller.merge(self.createReports(clock.getTime()), clock.getTime());
    assert.is(teller.isSilent("x"), false);
});

test.run();
