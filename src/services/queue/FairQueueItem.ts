/** An item of a fair queue. */
export interface FairQueueItem {
    readonly account: string;
    /** The account's share relative to others, above 0. */
    readonly weight: number;
    /** The expected slot time, in milliseconds. */
    readonly cost: number;
}
