import type { PooledUpstream } from "../pools/PooledUpstream.js";

/** Connections to an upstream that were lost at the same time. */
export interface Crash {
    readonly upstream: PooledUpstream;
    /** When the first was lost, in milliseconds. */
    readonly time: number;
    /** The evidence that the crash added against the upstream; 0 once it is removed. */
    evidence: number;
}
