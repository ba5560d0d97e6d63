import type { Finding } from "../errors/index.js";
import type { LoggedDecision } from "./LoggedDecision.js";

/** The decisions in the logs of several hosts that are needed to explain one request. */
export interface LogContents {
    /** The decisions on the request, in the order of the files and lines. */
    readonly decisions: readonly LoggedDecision[];
    /** Changes in the hosts' state and in their view of upstreams, other hosts and the store, in the same order. */
    readonly context: readonly LoggedDecision[];
    /** Log lines and files that could not be read. */
    readonly findings: readonly Finding[];
}
