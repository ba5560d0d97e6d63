import type { PooledUpstream } from "./PooledUpstream.js";

/** Connections to an upstream that were lost together. */
export interface Crash {
    readonly upstream: PooledUpstream;
    /** When the first was lost, in milliseconds. */
    readonly time: number;
    /** What the losses added to the upstream's evidence; 0 once it is removed. */
    evidence: number;
}
