import type { HeadDelta } from "./HeadDelta.js";

/** The head that a host has installed. */
export interface HeadAnswer {
    /** Undefined while no head is installed. */
    readonly delta?: HeadDelta;
}
