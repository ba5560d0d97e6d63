/** Request metrics of one entry host since its start. */
export interface RequestMetricsReport {
    /** Number of requests by outcome and reason. */
    readonly counts: Readonly<Record<string, number>>;
    /** Time to the first byte of answers, in milliseconds: median, 99th percentile and maximum. */
    readonly p50Ms: number;
    readonly p99Ms: number;
    readonly maxMs: number;
}
