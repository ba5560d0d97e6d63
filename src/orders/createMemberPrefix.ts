import type { Member } from "../head/index.js";
import { parseIncarnation } from "../utils/index.js";
import { encodeKeyPrefix } from "./encodeKeyPrefix.js";

const MS_PER_MINUTE = 60_000;
/** How far the wall clocks of two entry hosts may differ before a prefix is refused as not issued, in minutes. */
const MAX_CLOCK_SKEW_MINUTES = 1;

/**
 * Creates a key prefix of any member as of now. A wall clock that is ahead gives a prefix that the member refuses as not
 * run, one that is behind gives a prefix that ends earlier; neither lets an order run twice.
 * @param member - The member that may dispatch the orders.
 * @param wallTime - The time in milliseconds since the Unix epoch.
 */
export function createMemberPrefix(member: Member, wallTime: number): string {
    const startTime = parseIncarnation(member.incarnation) ?? wallTime;
    const minute = Math.max(0, Math.floor((wallTime - startTime) / MS_PER_MINUTE) - MAX_CLOCK_SKEW_MINUTES);
    return encodeKeyPrefix({ memberId: member.id, incarnation: member.incarnation, minute });
}
