import type { Member } from "../head/index.js";

/**
 * Compares members by id; the members of every view are sorted this way.
 * @param left - A member.
 * @param right - Another member.
 */
export function compareMembers(left: Member, right: Member): number {
    if (left.id === right.id) {
        return 0;
    }
    return left.id < right.id ? -1 : 1;
}
