import type { Member, MembershipView } from "../head/index.js";
import type { ViewDelta } from "./ViewDelta.js";

/**
 * Creates the difference between a view and another one.
 * @param view - The view.
 * @param base - The other view; undefined for the empty view.
 */
export function createViewDelta(view: MembershipView, base: MembershipView | undefined): ViewDelta {
    const known = new Map(base?.members.map(member => [member.id, member]));
    const ids = new Set(view.members.map(member => member.id));
    return {
        version: view.version,
        base: base?.version ?? 0,
        added: view.members.filter(member => !isEqual(member, known.get(member.id))),
        removed: [...known.keys()].filter(id => !ids.has(id)),
    };
}

function isEqual(left: Member, right: Member | undefined): boolean {
    return left === right || JSON.stringify(left) === JSON.stringify(right);
}
