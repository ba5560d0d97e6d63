import type { Head, Member } from "../head/index.js";

/**
 * Gets the members of the active view, then those that are only in the proposed view.
 * @param head - The head.
 */
export function getHeadMembers(head: Head): readonly Member[] {
    if (head.nextView === undefined) {
        return head.view.members;
    }
    const known = new Set(head.view.members.map(member => member.id));
    return [...head.view.members, ...head.nextView.members.filter(member => !known.has(member.id))];
}
