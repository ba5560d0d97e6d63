import type { MembershipView } from "../head/index.js";
import { compareMembers } from "./compareMembers.js";
import type { ViewDelta } from "./ViewDelta.js";

/**
 * Applies a difference to its base view.
 * @param delta - The difference.
 * @param base - The base view; undefined for the empty view.
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
