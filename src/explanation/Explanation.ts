import type { Finding } from "../errors/index.js";
import type { Cause } from "./Cause.js";
import type { LoggedDecision } from "./LoggedDecision.js";

/** The path of a request through the fleet, and why it ended as it did. */
export interface Explanation {
    readonly requestId: string;
    /** The decisions on the request, in causal order. */
    readonly path: readonly LoggedDecision[];
    readonly cause: Cause;
    /** Log lines and files that could not be read. */
    readonly findings: readonly Finding[];
}
