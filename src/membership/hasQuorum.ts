import type { Member, MembershipView } from "../head/index.js";
import { getQuorumTime } from "./getQuorumTime.js";

/**
 * Whether a quorum of a view meets a condition; see getQuorumTime.
 * @param view - The view.
 * @param isStopped - Whether a member is known to have stopped.
 * @param isMet - Whether a member meets the condition.
 */
export function hasQuorum(
    view: MembershipView,
    isStopped: (memberId: string) => boolean,
    isMet: (member: Member) => boolean,
): boolean {
    return getQuorumTime(view, isStopped, member => isMet(member) ? 0 : -Infinity) === 0;
}
