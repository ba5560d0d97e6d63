import type { Member } from "./Member.js";

/** The entry hosts that share the fleet's duties. */
export interface MembershipView {
    /** Rises with every change of view. */
    readonly version: number;
    readonly members: readonly Member[];
}
