import type { Head } from "../head/index.js";
import type { ViewDelta } from "./ViewDelta.js";

/** A head as its difference to an older one. */
export interface HeadDelta {
    /** The version of the older head; 0 for the empty one. */
    readonly base: number;
    /** The head with only those sections and changes that are newer than the older head, and without views. */
    readonly rest: Omit<Head, "view" | "nextView">;
    /** The sections that the older head may have and the head does not. */
    readonly removed: readonly string[];
    readonly view: ViewDelta;
    readonly nextView?: ViewDelta;
}
