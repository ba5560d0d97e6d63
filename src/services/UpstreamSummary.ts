/** How an upstream has fared, as service hosts of one service tell each other. */
export interface UpstreamSummary {
    readonly errorRate: number;
    readonly slowRate: number;
    /** Median time to the first byte in milliseconds. */
    readonly medianMs: number;
}
