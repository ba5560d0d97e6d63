import type { Member } from "./Member.js";
import type { MembershipView } from "./MembershipView.js";

/**
 * Whether enough members of a view meet a condition: a majority of the view, or all that have not stopped where these
 * are fewer. A view without any live member has no quorum.
 * @param view - The view.
 * @param isStopped - Whether a member is known to have stopped.
 * @param isMet - Whether a member meets the condition.
 */
export function hasQuorum(
    view: MembershipView,
    isStopped: (memberId: string) => boolean,
    isMet: (member: Member) => boolean,
): boolean {
    const live = view.members.filter(member => !isStopped(member.id)).length;
    const majority = Math.floor(view.members.length / 2) + 1;
    const needed = Math.min(majority, live);
    return needed > 0 && view.members.filter(isMet).length >= needed;
}
