import type { Member } from "../head/index.js";
import type { Membership } from "../membership/index.js";
import type { OrderHolder } from "./OrderHolder.js";

/**
 * Gets the members to which an incarnation's orders may be handed over, first choice first.
 * @param membership - Selects members by rendezvous hashing.
 * @param holder - The incarnation.
 */
export function getSuccessors(membership: Membership, holder: OrderHolder): readonly Member[] {
    const hashKey = `order-successor/${holder.memberId}`;
    return membership.getAccountHosts(hashKey).filter(member => member.id !== holder.memberId);
}
