import type { Member } from "../head/index.js";

/** A view as its difference to another one. */
export interface ViewDelta {
    readonly version: number;
    /** The version of the other view; 0 for the view without members. */
    readonly base: number;
    /** The members that the other view doesn't have or has with another content. */
    readonly added: readonly Member[];
    /** The ids of the members that only the other view has. */
    readonly removed: readonly string[];
}
