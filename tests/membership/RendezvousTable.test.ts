import { test } from "uvu";
import * as assert from "uvu/assert";
import type { Member } from "../../src/head/index.js";
import { RendezvousTable } from "../../src/membership/index.js";
import { createMember } from "../support/createMember.js";

const MEMBERS = Array.from({ length: 40 }, (_, index) => createMember(index));
const KEYS = Array.from({ length: 1_000 }, (_, index) => `account-${index}`);
const COUNT = 3;

test("the hosts of a key are in different availability zones if there are enough zones", () => {
    const table = new RendezvousTable(MEMBERS);
    for (const key of KEYS) {
        assert.is(new Set(table.selectAcrossZones(key, COUNT).map(member => member.zone)).size, COUNT);
    }
    assert.is(new RendezvousTable(MEMBERS.slice(0, 2)).selectAcrossZones("key", COUNT).length, 2);
    const oneZone = MEMBERS.filter(member => member.zone === "zone-a");
    assert.is(new RendezvousTable(oneZone).selectAcrossZones("key", COUNT).length, COUNT);
});

test("only the keys of a removed member move", () => {
    const table = new RendezvousTable(MEMBERS);
    const smaller = new RendezvousTable(MEMBERS.slice(1));
    for (const key of KEYS) {
        const before = table.selectAcrossZones(key, COUNT).map(member => member.id);
        const after = smaller.selectAcrossZones(key, COUNT).map(member => member.id);
        if (!before.includes("host-0")) {
            assert.equal(after, before);
        }
        assert.equal(before.filter(id => !after.includes(id) && id !== "host-0"), []);
    }
});

test("a service's hosts are in its availability zone, or in any zone if that one has no hosts", () => {
    const table = new RendezvousTable(MEMBERS);
    assert.ok(table.selectInZone("orders", "zone-b", COUNT).every(member => member.zone === "zone-b"));
    assert.is(table.selectInZone("orders", "zone-x", COUNT).length, COUNT);
});

test("most services of a zone get its few large hosts, not small ones that their load would exceed", () => {
    const members = MEMBERS.map((member, index) => ({ ...member, zone: "zone-a", capacity: index < 2 ? 270 : 2.7 }));
    const table = new RendezvousTable(members);
    const first = KEYS.map(key => table.selectInZone(key, "zone-a", COUNT)[0]!.id);
    const largeHostCount = first.filter(id => id === "host-0" || id === "host-1").length;
    assert.ok(largeHostCount > 0.99 * KEYS.length, `${largeHostCount} of ${KEYS.length}`);
    const firstHostCount = first.filter(id => id === "host-0").length;
    assert.ok(
        firstHostCount > 0.4 * largeHostCount && firstHostCount < 0.6 * largeHostCount,
        `${firstHostCount} of ${largeHostCount}`,
    );
});

test("the large hosts of a zone rank first for watching the store and forwarding its changes", () => {
    const members = MEMBERS.map((member, index) => ({ ...member, capacity: index < 6 ? 270 : 2.7 }));
    const large = new Set(members.slice(0, 6).map(member => member.id));
    for (const key of KEYS.slice(0, 20)) {
        for (const ranking of new RendezvousTable(members).getZoneRankings(key)) {
            assert.ok(ranking.slice(0, 2).every(({ id }) => large.has(id)), ranking.map(({ id }) => id).join(" "));
        }
    }
    const equal = members.map(member => ({ ...member, capacity: 540 }));
    assert.equal(getRankedIds(equal), getRankedIds(MEMBERS));
});

test("equal capacities select the same hosts as none, and only the keys of a removed weighted host move", () => {
    const equal = new RendezvousTable(MEMBERS.map(member => ({ ...member, capacity: 540 })));
    const unknown = new RendezvousTable(MEMBERS);
    const weighted = MEMBERS.map((member, index) => ({ ...member, capacity: 1 + index }));
    const table = new RendezvousTable(weighted);
    const smaller = new RendezvousTable(weighted.slice(1));
    const getIds = (from: RendezvousTable, key: string): readonly string[] =>
        from.selectInZone(key, "zone-a", COUNT).map(member => member.id);
    for (const key of KEYS) {
        assert.equal(getIds(equal, key), getIds(unknown, key));
        const before = getIds(table, key);
        assert.equal(before.filter(id => !getIds(smaller, key).includes(id) && id !== "host-0"), []);
    }
});

test.run();

function getRankedIds(members: readonly Member[]): readonly (readonly string[])[] {
    return new RendezvousTable(members).getZoneRankings("watch").map(ranking => ranking.map(({ id }) => id));
}
