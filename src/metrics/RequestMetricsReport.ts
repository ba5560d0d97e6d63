/** Figures of the requests at one entry host since its start. */
export interface RequestMetricsReport {
    /** Requests by outcome and reason. */
    readonly counts: Readonly<Record<string, number>>;
    /** Time until the first byte of answers, in milliseconds. */
    readonly p50Ms: number;
    readonly p99Ms: number;
    readonly maxMs: number;
}
