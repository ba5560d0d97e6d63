import type { PeerTrafficCount } from "./PeerTrafficCount.js";

/** Counts of the messages to other entry hosts in a period. */
export interface PeerTrafficSummary {
    readonly calls: number;
    /** Calls that were not answered. */
    readonly failures: number;
    /** Length of the sent bodies in bytes. */
    readonly bytes: number;
    /** How long the slowest call took, in milliseconds. */
    readonly slowestMs: number;
    /** Bytes of answers to requests that other hosts have forwarded to this one. */
    readonly answeredBytes: number;
    /** Bytes that this host sent, by kind and zone; only those above 0. */
    readonly counts: readonly PeerTrafficCount[];
}
