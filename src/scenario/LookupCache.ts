import type { LookupAnswer } from "../callers/index.js";

/** A lookup's answer that a caller keeps. */
export interface LookupCache {
    readonly answer: LookupAnswer;
    /** When the answer lapses, in milliseconds. */
    readonly endTime: number;
}
