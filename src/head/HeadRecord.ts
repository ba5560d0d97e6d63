import type { Head } from "./Head.js";

/** The head with the revision of its record in the store. */
export interface HeadRecord {
    readonly head: Head;
    readonly revision: number;
}
