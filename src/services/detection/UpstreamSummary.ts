/** The rates and latency of an upstream that the service hosts of one service share. */
export interface UpstreamSummary {
    readonly errorRate: number;
    readonly slowRate: number;
    /** Median time to the first byte in milliseconds. */
    readonly medianMs: number;
}
