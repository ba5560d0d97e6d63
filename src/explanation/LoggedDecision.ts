import type { DecisionRecord } from "../logging/index.js";

/** A decision as it stands in a host's log. */
export interface LoggedDecision extends DecisionRecord {
    /** The host that took it. */
    readonly host: string;
    /** The host's wall clock in milliseconds since the Unix epoch; other hosts' clocks may differ. */
    readonly time: number;
    readonly file: string;
    /** Line in the file, from 1. */
    readonly line: number;
}
