import type { MembershipView } from "../head/index.js";
import { compareMembers } from "./compareMembers.js";
import type { ViewDelta } from "./ViewDelta.js";

/**
 * Merges a difference into the view that it starts from.
 * @param delta - The difference.
 * @param base - The view that it starts from; undefined for the view without members.
 */
export function mergeViewDelta(delta: ViewDelta, base: MembershipView | undefined): MembershipView {
    if (base?.version === delta.version) {
        return base;
    }
    const members = new Map(base?.members.map(member => [member.id, member]));
    for (const id of delta.removed) {
        members.delete(id);
    }
    for (const member of delta.added) {
        members.set(member.id, member);
    }
    return { version: delta.version, members: [...members.values()].sort(compareMembers) };
}
