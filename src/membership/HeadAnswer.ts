import type { Head } from "../head/index.js";

/** The head that a host has installed. */
export interface HeadAnswer {
    /** Left out while the host has none. */
    readonly head?: Head;
}
