import { test } from "uvu";
import * as assert from "uvu/assert";
import { ViewEditKind } from "../../src/membership/index.js";
import { mergeViewEdits } from "../../src/membership/mergeViewEdits.js";
import { createMember } from "../support/createMember.js";

const MEMBERS = [createMember(1), createMember(2)];

test("a host takes over an entry only on the entry's address", () => {
    const restarted = createMember(1, "2");
    const moved = { ...restarted, peerAddress: "127.0.0.1:1" };
    assert.equal(mergeViewEdits(MEMBERS, [{ kind: ViewEditKind.Join, member: restarted }]), [restarted, MEMBERS[1]]);
    assert.is(mergeViewEdits(MEMBERS, [{ kind: ViewEditKind.Join, member: moved }]), undefined);
});

test("a late leave request of an earlier process does not remove its successor", () => {
    assert.is(mergeViewEdits(MEMBERS, [{ kind: ViewEditKind.Leave, member: createMember(1, "0") }]), undefined);
    assert.equal(mergeViewEdits(MEMBERS, [{ kind: ViewEditKind.Leave, member: MEMBERS[0]! }]), [MEMBERS[1]]);
});

test.run();
