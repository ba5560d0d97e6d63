/** The figures of one run of a scenario. */
export interface Measurement {
    /** Time from the fault to the first ejection of a faulty upstream, in milliseconds; undefined if none was ejected. */
    readonly detectionMs: number | undefined;
    /** Number of ejections of upstreams that the fault did not affect, and of any upstream before the fault. */
    readonly falseEjections: number;
    /** The lowest success rate of an account, from 0 to 1: its share of requests completed without an error. */
    readonly worstGoodShare: number;
    /** The account with the lowest success rate. */
    readonly worstAccount: string;
    /** Success rate by account, from 0 to 1, without the account that exceeds its rate. */
    readonly goodShares: Readonly<Record<string, number>>;
    /** The highest 99th percentile of the latency of an account's lookups, in milliseconds. */
    readonly worstP99Ms: number;
    /** Share of the requests within the accounts' rates that were refused, from 0 to 1. */
    readonly refusedInsideRate: number;
    /** Share of the requests whose outcome is unknown or that failed at the caller, from 0 to 1. */
    readonly unsettled: number;
    /** 99th percentile of the delay with which the load tool sent requests, in milliseconds; high on a busy machine. */
    readonly latenessP99Ms: number;
    /** Duplicate executions, lost requests, false refusals, leaked keys, wrong accounts, wrong answers and unaccounted requests. */
    readonly violations: number;
}
