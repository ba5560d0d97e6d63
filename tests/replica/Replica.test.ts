import { test } from "uvu";
import * as assert from "uvu/assert";
import { Replica } from "../../src/replica/index.js";
import type { ReplicaEvent } from "../../src/replica/index.js";

function createReplica(): { replica: Replica; seen: ReplicaEvent[]; } {
    const replica = new Replica();
    const seen: ReplicaEvent[] = [];
    replica.addListener(events => seen.push(...events));
    return { replica, seen };
}

test("a snapshot adds its items and removes those that it does not hold", () => {
    const { replica, seen } = createReplica();
    replica.applySnapshot([{ prefix: "a/", revision: 5, items: [{ key: "a/1", revision: 3, value: "x" }] }]);
    replica.applySnapshot([{ prefix: "a/", revision: 9, items: [{ key: "a/2", revision: 8, value: "y" }] }]);
    assert.equal(seen, [
        { key: "a/1", revision: 3, value: "x" },
        { key: "a/2", revision: 8, value: "y" },
        { key: "a/1", revision: 9 },
    ]);
    assert.is(replica.getRevision(), 9);
});

test("a snapshot of a later epoch replaces all items whatever their revisions, and one of an earlier epoch is ignored", () => {
    const { replica, seen } = createReplica();
    const epochs: number[] = [];
    replica.addEpochListener(epoch => epochs.push(epoch));
    const before = [
        { key: "a", revision: 50, value: "new" },
        { key: "b", revision: 51, value: "same" },
        { key: "c", revision: 52, value: "lost" },
    ];
    replica.applySnapshot([{ prefix: "", revision: 60, items: before }], 1);
    seen.length = 0;
    const after = [{ key: "a", revision: 20, value: "old" }, { key: "b", revision: 21, value: "same" }];
    replica.applySnapshot([{ prefix: "", revision: 30, items: after }], 2);
    assert.equal(seen, [{ key: "a", revision: 20, value: "old" }, { key: "c", revision: 30 }]);
    assert.equal([replica.getEpoch(), replica.getRevision(), epochs], [2, 30, [2]]);
    assert.is(replica.findChanges(29), undefined);
    replica.applyEvents([{ key: "a", revision: 31, value: "next" }], 31);
    assert.equal(replica.findChanges(30), [{ key: "a", revision: 31, value: "next" }]);
    replica.applySnapshot([{ prefix: "", revision: 90, items: before }], 1);
    assert.is(replica.getRevision(), 31);
    assert.is(seen.at(-1)!.value, "next");
});

test("an item never returns to an earlier revision, also after its removal", () => {
    const { replica, seen } = createReplica();
    replica.applySnapshot([{ prefix: "", revision: 1, items: [] }]);
    replica.applyEvents([{ key: "k", revision: 4, value: "new" }], 4);
    replica.applyEvents([{ key: "k", revision: 2, value: "old" }], 4);
    replica.applyEvents([{ key: "k", revision: 6 }], 6);
    replica.applyEvents([{ key: "k", revision: 5, value: "late" }], 6);
    assert.equal(seen.map(event => event.revision), [4, 6]);
});

test("a stale snapshot does not undo a newer event", () => {
    const { replica, seen } = createReplica();
    replica.applySnapshot([{ prefix: "", revision: 1, items: [] }]);
    replica.applyEvents([{ key: "k", revision: 7, value: "v" }], 7);
    replica.applySnapshot([{ prefix: "", revision: 5, items: [] }]);
    assert.equal(seen.map(event => event.value), ["v"]);
    assert.is(replica.getRevision(), 7);
});

test("the revision of a snapshot in parts is that of the oldest part", () => {
    const { replica } = createReplica();
    replica.applySnapshot([{ prefix: "a/", revision: 9, items: [] }, { prefix: "b/", revision: 4, items: [] }]);
    assert.is(replica.getRevision(), 4);
});

test("changes since a revision are found as long as they are kept", () => {
    const { replica } = createReplica();
    replica.applySnapshot([{ prefix: "", revision: 3, items: [] }]);
    replica.applyEvents([{ key: "a", revision: 4, value: "1" }, { key: "b", revision: 5, value: "2" }], 5);
    assert.equal(replica.findChanges(4)?.map(event => event.key), ["b"]);
    assert.is(replica.findChanges(2), undefined);
});

test("items of a snapshot that are newer than its revision are kept as changes for other hosts", () => {
    const { replica } = createReplica();
    const early = { key: "a/1", revision: 8, value: "x" };
    const late = { key: "b/1", revision: 9, value: "y" };
    replica.applySnapshot([
        { prefix: "a/", revision: 8, items: [early] },
        { prefix: "b/", revision: 4, items: [] },
    ]);
    replica.applyEvents([early, late], 9);
    assert.equal(replica.findChanges(4), [early, late]);
});

test("minor changes are neither reported nor kept as changes, but the next value is compared with theirs", () => {
    const seen: ReplicaEvent[] = [];
    const replica = new Replica((_, previous, next) => previous[0] === next[0] && previous < next);
    replica.addListener(events => seen.push(...events));
    replica.applySnapshot([{ prefix: "", revision: 3, items: [{ key: "k", revision: 3, value: "a1" }] }]);
    replica.applyEvents([{ key: "k", revision: 4, value: "a2" }, { key: "k", revision: 5, value: "a5" }], 5);
    assert.equal([seen.length, replica.getRevision(), replica.hasChanges(3), replica.findChanges(3)], [
        1,
        5,
        false,
        [],
    ]);
    replica.applyEvents([{ key: "k", revision: 6, value: "a3" }], 6);
    assert.equal(replica.findChanges(3)?.map(event => event.value), ["a3"]);
});

test("a second snapshot is kept as the changes since the known revision", () => {
    const { replica } = createReplica();
    replica.applySnapshot([{ prefix: "", revision: 3, items: [{ key: "a", revision: 2, value: "1" }] }]);
    replica.applySnapshot([{ prefix: "", revision: 9, items: [{ key: "b", revision: 8, value: "2" }] }]);
    assert.equal(replica.findChanges(3)?.map(event => [event.key, event.revision]), [["b", 8], ["a", 9]]);
});

test("the changes inside a revision gap are unknown to a replica whose revision lies in the gap", () => {
    const replica = new Replica((_, previous, next) => previous === next);
    replica.applySnapshot([{ prefix: "", revision: 3, items: [{ key: "a", revision: 2, value: "1" }] }]);
    // Between the snapshots the store removed "a", added "b", removed "b" and added "a" with its old value.
    replica.applySnapshot([{ prefix: "", revision: 9, items: [{ key: "a", revision: 8, value: "1" }] }]);
    assert.equal([replica.findChanges(3), replica.findChanges(5), replica.findChanges(9)], [[], undefined, []]);
    const next = new Replica((_, previous, next) => previous === next);
    next.applySnapshot([{ prefix: "", revision: 3, items: [{ key: "a", revision: 2, value: "1" }] }]);
    next.applyChanges(replica.findChanges(3)!, replica.getRevision(), replica.findGaps(3));
    assert.equal([next.findChanges(3), next.findChanges(5), next.findChanges(9)], [[], undefined, []]);
});

test("events that are older than a snapshot do not restore items that the snapshot lacks", () => {
    const { replica } = createReplica();
    replica.applySnapshot([{ prefix: "", revision: 100, items: [] }]);
    replica.applyEvents([{ key: "gone", revision: 80, value: "1" }], 85);
    assert.equal(replica.getEvents().filter(event => event.value !== undefined), []);
});

test("a replica that has dropped changes does not claim to know changes before its first snapshot", () => {
    const { replica } = createReplica();
    replica.applySnapshot([{ prefix: "", revision: 5_000, items: [{ key: "a", revision: 10, value: "1" }] }]);
    for (let revision = 5_001; revision <= 7_000; revision++) {
        replica.applyEvents([{ key: `k${revision}`, revision, value: "1" }], revision);
    }
    assert.is(replica.findChanges(4_000), undefined);
});

// Guards against LOST (review/6): hosts kept 2,000 versions of a large configuration for each other and ran out of memory.
test("of the versions of a key, only the newest is kept for other hosts", () => {
    const { replica } = createReplica();
    replica.applySnapshot([{ prefix: "", revision: 1, items: [{ key: "a", revision: 1, value: "1" }] }]);
    for (let revision = 2; revision <= 500; revision++) {
        replica.applyEvents([{ key: "a", revision, value: String(revision) }], revision);
    }
    const newest = { key: "a", revision: 500, value: "500" };
    assert.equal([1, 250, 499].map(revision => replica.findChanges(revision)), [[newest], [newest], [newest]]);
    assert.equal([replica.findChanges(500), replica.hasChanges(499), replica.hasChanges(500)], [[], true, false]);
});

test("a change that is undone for this replica is still one for a host that knows the value in between", () => {
    const isMinorChange = (_: string, previous: string, next: string): boolean => previous === next;
    const start = [{ prefix: "", revision: 3, items: [{ key: "a", revision: 3, value: "1" }] }];
    const [source, follower, late] = [
        new Replica(isMinorChange),
        new Replica(isMinorChange),
        new Replica(isMinorChange),
    ];
    [source, follower, late].forEach(replica => replica.applySnapshot(start));
    source.applyEvents([{ key: "a", revision: 5, value: "2" }], 5);
    source.applyEvents([{ key: "b", revision: 6, value: "1" }], 6);
    late.applyChanges(source.findChanges(3)!, 6, []);
    source.applyEvents([{ key: "a", revision: 7, value: "1" }, { key: "b", revision: 8 }], 8);
    follower.applyChanges(source.findChanges(3)!, 8, []);
    late.applyChanges(follower.findChanges(6)!, 8, []);
    const items = late.getEvents().filter(({ value }) => value !== undefined);
    assert.equal(items.map(({ key, value }) => [key, value]), [["a", "1"]]);
});

// Guards against processes that grow with each key that was ever removed, such as the entries of upstreams' earlier lives (beside review/6).
test("a removal is dropped once it is known to be complete, and no late event restores its key", () => {
    const { replica, seen } = createReplica();
    replica.applySnapshot([{ prefix: "", revision: 1, items: [] }]);
    for (let life = 0; life < 5_000; life++) {
        const revision = 2 + 2 * life;
        replica.applyEvents([{ key: `upstreams/${life}`, revision, value: "x" }], revision);
        replica.applyEvents([{ key: `upstreams/${life}`, revision: revision + 1 }], revision + 1);
    }
    assert.equal(replica.getEvents(), []);
    seen.length = 0;
    replica.applyChanges([{ key: "upstreams/7", revision: 16, value: "late" }], 16, []);
    assert.equal([seen, replica.getEvents()], [[], []]);
});

test("a removal in a part of a snapshot that is newer than the other parts is kept until the rest is known", () => {
    const { replica, seen } = createReplica();
    replica.applySnapshot([{ prefix: "", revision: 3, items: [{ key: "b/1", revision: 2, value: "x" }] }]);
    replica.applySnapshot([{ prefix: "a/", revision: 4, items: [] }, { prefix: "b/", revision: 9, items: [] }]);
    seen.length = 0;
    replica.applyEvents([{ key: "b/1", revision: 5, value: "y" }], 6);
    assert.equal(seen, []);
    replica.applyEvents([], 9);
    assert.equal(replica.getEvents(), []);
});

test("gaps are bounded in number, and a host from before a dropped one gets a snapshot", () => {
    const { replica } = createReplica();
    for (let revision = 10; revision <= 2_000; revision += 10) {
        replica.applySnapshot([{ prefix: "", revision, items: [{ key: "a", revision: 1, value: "1" }] }]);
    }
    assert.is(replica.findGaps(0).length, 100);
    assert.is(replica.findChanges(500), undefined);
    assert.equal(replica.findChanges(1_500), []);
});

test.run();
