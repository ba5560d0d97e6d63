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
    next.applyEvents(replica.findChanges(3)!, replica.getRevision(), replica.findGaps(3));
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

test.run();
