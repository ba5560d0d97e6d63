import type { Finding } from "../errors/index.js";
import type { Cause } from "./Cause.js";
import type { LoggedDecision } from "./LoggedDecision.js";

/** The path of a request through the fleet and why it ended as it did. */
export interface Explanation {
    readonly requestId: string;
    /** Its decisions, in causal order. */
    readonly path: readonly LoggedDecision[];
    readonly cause: Cause;
    /** Lines and files that could not be read. */
    readonly findings: readonly Finding[];
}
