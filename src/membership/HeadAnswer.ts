import type { HeadDelta } from "./HeadDelta.js";

/** The head that a host has installed. */
export interface HeadAnswer {
    /** Left out while the host has none. */
    readonly delta?: HeadDelta;
}
