/** How the siblings of an upstream fare. */
export interface BaselineRates {
    /** Median share of failed requests, from 0 to 1. */
    readonly errorRate: number;
    /** Median share of slow answers, from 0 to 1. */
    readonly slowRate: number;
    /** Median of the median latencies in milliseconds; undefined while too little is known. */
    readonly medianMs: number | undefined;
}
