import { test } from "uvu";
import * as assert from "uvu/assert";
import type { Member } from "../../src/head/index.js";
import { RendezvousTable } from "../../src/membership/index.js";
import { createMember } from "../support/createMember.js";

const MEMBERS = Array.from({ length: 40 }, (_, index) => createMember(index));
const KEYS = Array.from({ length: 1_000 }, (_, index) => `account-${index}`);
const COUNT = 3;

test("the hosts of a key stand in different availability zones while there are enough", () => {
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

test("a service's hosts stand in its availability zone, or anywhere if it has none", () => {
    const table = new RendezvousTable(MEMBERS);
    assert.ok(table.selectInZone("orders", "zone-b", COUNT).every(member => member.zone === "zone-b"));
    assert.is(table.selectInZone("orders", "zone-x", COUNT).length, COUNT);
});

test("most service hosts stand on the few large hosts of a zone, not on small ones that their load exceeds", () => {
    const members = MEMBERS.map((member, index) => ({ ...member, zone: "zone-a", capacity: index < 2 ? 270 : 2.7 }));
    const table = new RendezvousTable(members);
    const first = KEYS.map(key => table.selectInZone(key, "zone-a", COUNT)[0]!.id);
    const onLarge = first.filter(id => id === "host-0" || id === "host-1").length;
    assert.ok(onLarge > 0.99 * KEYS.length, `${onLarge} of ${KEYS.length}`);
    const onFirst = first.filter(id => id === "host-0").length;
    assert.ok(onFirst > 0.4 * onLarge && onFirst < 0.6 * onLarge, `${onFirst} of ${onLarge}`);
});

test("the large hosts of a zone are the first to watch and pass changes on", () => {
    const members = MEMBERS.map((member, index) => ({ ...member, capacity: index < 6 ? 270 : 2.7 }));
    const large = new Set(members.slice(0, 6).map(member => member.id));
    for (const key of KEYS.slice(0, 20)) {
        for (const order of new RendezvousTable(members).getZoneRankings(key)) {
            assert.ok(order.slice(0, 2).every(({ id }) => large.has(id)), order.map(({ id }) => id).join(" "));
        }
    }
    const equal = members.map(member => ({ ...member, capacity: 540 }));
    assert.equal(getOrderIds(equal), getOrderIds(MEMBERS));
});

test("hosts of equal capacity are chosen as if none were known, and only the keys of a removed one move", () => {
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

function getOrderIds(members: readonly Member[]): readonly (readonly string[])[] {
    return new RendezvousTable(members).getZoneRankings("watch").map(order => order.map(({ id }) => id));
}
