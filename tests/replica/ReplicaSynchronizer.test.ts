import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createReplicaFleet } from "../support/createReplicaFleet.js";

/** The platform's bound for a change to be in force on all hosts, in milliseconds. */
const APPLY_BOUND_MS = 2_000;
/** Time after its end from which lookups must not name a host, in milliseconds. */
const CONTACT_BOUND_MS = 6_000;
/** How long the entry of a host lasts after its end, in milliseconds. */
const ENTRY_DURATION_MS = 30_000;
const HOSTS = 12;
const ZONES = 3;

const test = suite("ReplicaSynchronizer");

test("one host of each zone watches the store, and a change reaches all hosts within the bound", async () => {
    const fleet = createReplicaFleet(HOSTS);
    await fleet.start();
    const callsBefore = fleet.store.calls;
    await fleet.clock.run(10_000);
    assert.ok(fleet.store.calls - callsBefore <= ZONES * 11, `${fleet.store.calls - callsBefore} calls in 10 s`);
    fleet.store.write("configuration", "new");
    await fleet.clock.run(APPLY_BOUND_MS);
    assert.equal(fleet.getHostsWithout("configuration", "new"), []);
});

test("a change reaches the other hosts within the bound if all watchers crash at the same time", async () => {
    const fleet = createReplicaFleet(HOSTS);
    await fleet.start();
    const watchers = fleet.getWatchRanking().slice(0, ZONES);
    watchers.forEach(id => fleet.removeHost(id));
    fleet.store.write("configuration", "new");
    await fleet.clock.run(APPLY_BOUND_MS);
    assert.equal(fleet.getHostsWithout("configuration", "new").filter(id => !watchers.includes(id)), []);
});

test("a change reaches hosts whose calls the store refuses, watchers among them", async () => {
    const fleet = createReplicaFleet(HOSTS);
    await fleet.start();
    fleet.getWatchRanking().slice(0, 3).forEach(id => fleet.store.refused.add(id));
    fleet.store.write("configuration", "new");
    await fleet.clock.run(APPLY_BOUND_MS);
    assert.equal(fleet.getHostsWithout("configuration", "new"), []);
});

test("an evacuation reaches all hosts while the store refuses half of them, and a host that starts then has it at once", async () => {
    const fleet = createReplicaFleet(HOSTS);
    await fleet.start();
    const refused = fleet.getWatchRanking().filter((_, index) => index % 2 === 0);
    refused.forEach(id => fleet.store.refused.add(id));
    await fleet.clock.run(500);
    fleet.store.write("evacuate/zone-a", "{}");
    await fleet.clock.run(APPLY_BOUND_MS);
    assert.equal(fleet.getHostsWithout("evacuate/zone-a", "{}"), []);
    fleet.store.write(`hosts/host-${HOSTS}`, `host-${HOSTS}`);
    await fleet.startHost(`host-${HOSTS}`);
    await fleet.clock.run(100);
    assert.equal(fleet.getHostsWithout("evacuate/zone-a", "{}"), []);
    fleet.store.remove("evacuate/zone-a");
    await fleet.clock.run(APPLY_BOUND_MS);
    assert.equal(fleet.getHostsWithout("evacuate/zone-a", undefined), []);
});

test("hosts that end without leaving stay reported as unreachable everywhere while their entries last", async () => {
    const fleet = createReplicaFleet(HOSTS);
    await fleet.start();
    const ended = [...fleet.getWatchRanking().slice(0, 2), fleet.getWatchRanking().at(-1)!];
    ended.forEach(id => fleet.removeHost(id));
    await fleet.clock.run(CONTACT_BOUND_MS);
    for (let time = CONTACT_BOUND_MS; time < ENTRY_DURATION_MS; time += 250) {
        await fleet.clock.run(250);
        ended.forEach(id => assert.equal(fleet.getHostsThatReach(id), [], `${id} after ${time} ms`));
    }
});

test("a watcher that the store no longer answers but that peers reach does not delay changes", async () => {
    const fleet = createReplicaFleet(HOSTS);
    await fleet.start();
    fleet.getWatchRanking().slice(0, ZONES).forEach(id => fleet.store.unanswered.add(id));
    await fleet.clock.run(500);
    fleet.store.write("configuration", "new");
    await fleet.clock.run(APPLY_BOUND_MS);
    assert.equal(fleet.getHostsWithout("configuration", "new"), []);
});

test("a store outage causes few calls to the store, and changes arrive soon after its return", async () => {
    const fleet = createReplicaFleet(HOSTS);
    await fleet.start();
    fleet.store.isAway = true;
    const callsBefore = fleet.store.calls;
    await fleet.clock.run(4_000);
    const calls = fleet.store.calls - callsBefore;
    assert.ok(calls <= 4 * HOSTS, `${calls} calls in 4 s`);
    fleet.store.isAway = false;
    fleet.store.write("configuration", "new");
    await fleet.clock.run(APPLY_BOUND_MS);
    assert.equal(fleet.getHostsWithout("configuration", "new"), []);
});

test("changes whose history is lost are recovered by a snapshot", async () => {
    const fleet = createReplicaFleet(HOSTS);
    await fleet.start();
    fleet.store.write("upstream/a", "1");
    await fleet.clock.run(APPLY_BOUND_MS);
    fleet.store.losesWatchEvents = true;
    fleet.store.remove("upstream/a");
    fleet.store.write("configuration", "new");
    await fleet.clock.run(700);
    fleet.store.removeHistory();
    fleet.store.losesWatchEvents = false;
    await fleet.clock.run(APPLY_BOUND_MS);
    assert.equal(fleet.getHostsWithout("configuration", "new"), []);
    assert.equal(fleet.getHostsWithout("upstream/a", undefined), []);
});

test("a host that restarts gets all items", async () => {
    const fleet = createReplicaFleet(HOSTS);
    await fleet.start();
    fleet.store.write("configuration", "new");
    await fleet.clock.run(APPLY_BOUND_MS);
    const id = fleet.getWatchRanking().at(-1)!;
    fleet.removeHost(id);
    await fleet.clock.run(1_000);
    await fleet.startHost(id);
    await fleet.clock.run(3_000);
    assert.equal(fleet.getHostsWithout("configuration", "new"), []);
});

test("a change 1.6 s after hosts start together reaches them within 0.5 s, and none considers itself isolated", async () => {
    const fleet = createReplicaFleet(HOSTS);
    const start = fleet.start();
    fleet.clock.schedule(1_600, () => fleet.store.write("configuration", "new"));
    let isolated = 0;
    fleet.clock.schedule(1_900, () => (isolated = fleet.getIsolatedHosts().length));
    fleet.clock.schedule(2_100, () => {
        assert.equal(fleet.getHostsWithout("configuration", "new"), []);
    });
    await start;
    assert.equal([isolated, fleet.getIsolatedHosts()], [0, []]);
});

test("a host that is cut off from all others detects that it is isolated", async () => {
    const fleet = createReplicaFleet(HOSTS);
    await fleet.start();
    const id = fleet.getWatchRanking().at(-1)!;
    fleet.store.unanswered.add(id);
    fleet.closeHost(id);
    await fleet.clock.run(4_000);
    assert.equal(fleet.getIsolatedHosts(), [id]);
});

test("a host that was cut off itself does not treat that as a store outage", async () => {
    const fleet = createReplicaFleet(HOSTS);
    await fleet.start();
    for (const id of [fleet.getWatchRanking().at(-1)!, fleet.getWatchRanking()[ZONES]!]) {
        const start = fleet.clock.getTime();
        fleet.closeHost(id);
        fleet.store.unanswered.add(id);
        await fleet.clock.run(5_000);
        fleet.openHost(id);
        fleet.store.unanswered.delete(id);
        await fleet.clock.run(4_000);
        assert.equal(fleet.getHostsWithoutStoreSince(start), []);
    }
});

test("hosts that kept contact with the store do not report an outage because a watcher was cut off", async () => {
    const fleet = createReplicaFleet(HOSTS);
    await fleet.start();
    const [watcher] = fleet.getWatchRanking();
    const start = fleet.clock.getTime();
    fleet.closeHost(watcher!);
    fleet.store.unanswered.add(watcher!);
    await fleet.clock.run(5_000);
    fleet.openHost(watcher!);
    fleet.store.unanswered.delete(watcher!);
    await fleet.clock.run(4_000);
    assert.equal(fleet.getHostsWithoutStoreSince(start).filter(id => id !== watcher), []);
});

test("after a store outage, every host knows when the store was reachable again", async () => {
    const fleet = createReplicaFleet(HOSTS);
    await fleet.start();
    fleet.store.isAway = true;
    await fleet.clock.run(5_000);
    fleet.store.isAway = false;
    const end = fleet.clock.getTime();
    await fleet.clock.run(4_000);
    assert.is(fleet.getHostsWithoutStoreSince(end).length, HOSTS);
    assert.equal(fleet.getHostsWithoutStoreSince(end + APPLY_BOUND_MS), []);
});

test("a host that has crashed is reported as unreachable to all others", async () => {
    const fleet = createReplicaFleet(HOSTS);
    await fleet.start();
    const id = fleet.getWatchRanking().at(-1)!;
    fleet.removeHost(id);
    await fleet.clock.run(2_500);
    assert.equal(fleet.getHostsThatReach(id), []);
});

test("hosts whose entries have all expired get the renewed entries at once", async () => {
    const fleet = createReplicaFleet(HOSTS);
    await fleet.start();
    const ids = fleet.getWatchRanking();
    ids.forEach(id => fleet.store.remove(`hosts/${id}`));
    await fleet.clock.run(1_000);
    ids.forEach(id => fleet.store.write(`hosts/${id}`, id));
    await fleet.clock.run(300);
    assert.equal(ids.flatMap(id => fleet.getHostsWithout(`hosts/${id}`, id)), []);
});

test.run();
