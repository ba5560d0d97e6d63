import type { Member } from "./Member.js";

/** A version of the set of entry hosts among which accounts and services are distributed. */
export interface MembershipView {
    /** Increases with every change of view. */
    readonly version: number;
    readonly members: readonly Member[];
}
