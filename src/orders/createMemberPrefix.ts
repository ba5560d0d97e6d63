import type { Member } from "../head/index.js";
import { parseIncarnation } from "../utils/index.js";
import { encodeKeyPrefix } from "./encodeKeyPrefix.js";

const MS_PER_MINUTE = 60_000;
/** The largest difference between the wall clocks of two entry hosts at which a prefix is not refused as not yet issued, in minutes. */
const MAX_CLOCK_SKEW_MINUTES = 1;

/**
 * Creates a key prefix of any member, issued now. If this host's wall clock is ahead, the member may refuse the prefix; if it is
 * behind, the prefix expires earlier. In neither case can an order run twice.
 * @param member - The member that may dispatch the orders.
 * @param wallTime - The time, in milliseconds since the Unix epoch.
 */
export function createMemberPrefix(member: Member, wallTime: number): string {
    const startTime = parseIncarnation(member.incarnation) ?? wallTime;
    const minute = Math.max(0, Math.floor((wallTime - startTime) / MS_PER_MINUTE) - MAX_CLOCK_SKEW_MINUTES);
    return encodeKeyPrefix({ memberId: member.id, incarnation: member.incarnation, minute });
}
