/** An item of a fair queue. */
export interface FairQueueItem {
    /** The client account's name; undefined for callers without an API key, who share one queue. */
    readonly account?: string | undefined;
    /** The account's share relative to others, above 0. */
    readonly weight: number;
    /** The expected slot time, in milliseconds. */
    readonly cost: number;
}
