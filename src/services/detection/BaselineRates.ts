/** The median rates and latency of the siblings of an upstream: the other upstreams of its service. */
export interface BaselineRates {
    /** Median share of failed requests, from 0 to 1. */
    readonly errorRate: number;
    /** Median share of slow answers, from 0 to 1. */
    readonly slowRate: number;
    /** Median of the median latencies in milliseconds; undefined while there are too few samples. */
    readonly medianMs: number | undefined;
}
