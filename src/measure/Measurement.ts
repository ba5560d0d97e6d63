/** The figures of one run of a scenario. */
export interface Measurement {
    /** From the fault to the first ejection of a faulty upstream, in milliseconds; undefined if it was not ejected. */
    readonly detectionMs: number | undefined;
    /** Ejections of upstreams that the fault did not touch, and any before the fault. */
    readonly falseEjections: number;
    /** The lowest share of an account's requests that were done without an error, from 0 to 1. */
    readonly worstGoodShare: number;
    /** The account that it belongs to. */
    readonly worstAccount: string;
    /** Good share by account, from 0 to 1, without the account beyond its rate. */
    readonly goodShares: Readonly<Record<string, number>>;
    /** The highest 99th percentile of an account's lookups, in milliseconds. */
    readonly worstP99Ms: number;
    /** Share of the requests inside the accounts' rates that were refused, from 0 to 1. */
    readonly refusedInsideRate: number;
    /** Share of the requests that ended unknown or failed at the caller, from 0 to 1. */
    readonly unsettled: number;
    /** How late the load tool itself sent requests, 99th percentile in milliseconds; high on a busy machine. */
    readonly latenessP99Ms: number;
    /** Doubles, lost requests, false refusals, leaked keys, wrong accounts and answers, and requests not accounted for. */
    readonly violations: number;
}
