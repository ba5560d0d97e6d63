import type { DecisionRecord } from "./DecisionRecord.js";

/** A decision with the time at which it was taken. */
export interface TimedDecision extends DecisionRecord {
    /** Milliseconds since the Unix epoch. */
    readonly time: number;
}
