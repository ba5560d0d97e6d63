import type { Head } from "../head/index.js";
import type { ViewDelta } from "./ViewDelta.js";

/** The difference between a head and an older one. */
export interface HeadDelta {
    /** The version of the older head; 0 for the empty head. */
    readonly base: number;
    /** The head without its views, and with only the sections and changes that are newer than the older head. */
    readonly rest: Omit<Head, "view" | "nextView">;
    /** Names of the sections that the older head may have and the newer one doesn't. */
    readonly removed: readonly string[];
    readonly view: ViewDelta;
    readonly nextView?: ViewDelta;
}
