import type { Member } from "../head/index.js";

/**
 * Compares members by id, the order in which every view holds them.
 * @param left - A member.
 * @param right - Another one.
 */
export function compareMembers(left: Member, right: Member): number {
    if (left.id === right.id) {
        return 0;
    }
    return left.id < right.id ? -1 : 1;
}
