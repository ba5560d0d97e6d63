/** Calls to other entry hosts in a span of time. */
export interface PeerTrafficSummary {
    readonly calls: number;
    /** Calls that no peer has answered. */
    readonly failures: number;
    /** Length of the bodies that were sent. */
    readonly bytes: number;
    /** How long the slowest call took, in milliseconds. */
    readonly slowestMs: number;
    /** Bytes of answers to requests that other hosts have forwarded to this one. */
    readonly answeredBytes: number;
}
