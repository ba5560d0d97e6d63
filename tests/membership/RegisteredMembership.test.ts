import { test } from "uvu";
import * as assert from "uvu/assert";
import { RegisteredMembership } from "../../src/membership/index.js";
import { createMember } from "../support/createMember.js";

test("a host without contact to any other host counts as isolated, unless it is leaving", () => {
    const members = [createMember(0), createMember(1)];
    const reachability = { isUnreachable: () => false, isIsolated: () => true };
    const membership = new RegisteredMembership(members[0]!, reachability);
    membership.applyMembers(members);
    assert.is(membership.isIsolated(), true);
    membership.leave();
    assert.is(membership.isIsolated(), false);
});

test("an unchanged set of hosts in another order keeps the view and its selections", () => {
    const members = [createMember(0), createMember(1)];
    const membership = new RegisteredMembership(members[0]!, { isUnreachable: () => false, isIsolated: () => false });
    let changes = 0;
    membership.addViewListener(() => changes++);
    membership.applyMembers(members);
    membership.applyMembers([createMember(1), createMember(0)]);
    assert.is(changes, 1);
    membership.applyMembers([createMember(1)]);
    assert.is(changes, 2);
});

test.run();
