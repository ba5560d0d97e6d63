import type { Member } from "../head/index.js";

/** The difference between a view and another one. */
export interface ViewDelta {
    readonly version: number;
    /** The version of the other view; 0 for the empty view. */
    readonly base: number;
    /** The members that the other view doesn't have, or has with other contents. */
    readonly added: readonly Member[];
    /** The ids of the members that only the other view has. */
    readonly removed: readonly string[];
}
