import { test } from "uvu";
import * as assert from "uvu/assert";
import { FakeMembership } from "../../src/fakes/index.js";
import { HostLookup } from "../../src/gateway/index.js";
import { createMember } from "../support/createMember.js";

const LIFETIME_MS = 3_000;

function createLookup(count: number): { lookup: HostLookup; membership: FakeMembership; } {
    const members = Array.from({ length: count }, (_, index) => createMember(index));
    const membership = new FakeMembership(members[0]!, { version: 1, members });
    return { lookup: new HostLookup(membership, LIFETIME_MS), membership };
}

test("a caller gets the hosts of its availability zone, or all hosts if the zone has fewer than three", () => {
    const { lookup } = createLookup(9);
    const inZone = [1, 4, 7].map(index => createMember(index).callerAddress);
    assert.equal(lookup.getAddresses("zone-b"), { addresses: inZone, lifetimeMs: LIFETIME_MS });
    assert.is(lookup.getAddresses("elsewhere").addresses.length, 9);
    assert.is(createLookup(6).lookup.getAddresses("zone-b").addresses.length, 6);
});

test("unreachable hosts and a leaving host are excluded", () => {
    const { lookup, membership } = createLookup(12);
    membership.unreachable.add("host-3");
    lookup.leave();
    assert.equal(lookup.getAddresses(undefined).addresses.length, 10);
    assert.not(lookup.getAddresses(undefined).addresses.includes(createMember(0).callerAddress));
});

test("a leaving host that reaches no other host still lists them", () => {
    const { lookup, membership } = createLookup(3);
    ["host-1", "host-2"].forEach(id => membership.unreachable.add(id));
    lookup.leave();
    const others = [1, 2].map(index => createMember(index).callerAddress);
    assert.equal(lookup.getAddresses("zone-a").addresses, others);
});

test("a lookup returns at most 64 addresses", () => {
    assert.is(createLookup(300).lookup.getAddresses("zone-a").addresses.length, 64);
});

test.run();
