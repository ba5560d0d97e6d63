import type { DecisionRecord } from "../logging/index.js";

/** A decision from a line of a host's log. */
export interface LoggedDecision extends DecisionRecord {
    /** The host that logged the decision. */
    readonly host: string;
    /** The host's wall clock in milliseconds since the Unix epoch; not comparable between hosts. */
    readonly time: number;
    readonly file: string;
    /** Line number in the file, from 1. */
    readonly line: number;
}
