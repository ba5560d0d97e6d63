import type { Finding } from "../errors/index.js";
import type { LoggedDecision } from "./LoggedDecision.js";

/** What was read of the logs of several hosts for one request. */
export interface LogContents {
    /** The decisions on the request, in the order of the files and lines. */
    readonly decisions: readonly LoggedDecision[];
    /** What the hosts came to believe of upstreams, other hosts and the store, in the same order. */
    readonly context: readonly LoggedDecision[];
    /** Lines and files that could not be read. */
    readonly findings: readonly Finding[];
}
