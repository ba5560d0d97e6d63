import type { Member, MembershipView } from "../head/index.js";

/**
 * Gets the latest time that a quorum of a view has reached; -Infinity for a view without live members. The quorum is a
 * majority of the view, or all members that have not stopped if these are fewer.
 * @param view - The view.
 * @param isStopped - Whether a member is known to have stopped.
 * @param getTime - Gets a member's time; -Infinity if it has none.
 */
export function getQuorumTime(
    view: MembershipView,
    isStopped: (memberId: string) => boolean,
    getTime: (member: Member) => number,
): number {
    const live = view.members.filter(member => !isStopped(member.id)).length;
    const majority = Math.floor(view.members.length / 2) + 1;
    const needed = Math.min(majority, live);
    const times = Float64Array.from(view.members, getTime).sort();
    return needed === 0 ? -Infinity : times[times.length - needed]!;
}
