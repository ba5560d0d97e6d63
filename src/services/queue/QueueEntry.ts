import type { AccountQueue } from "./AccountQueue.js";
import type { FairQueueItem } from "./FairQueueItem.js";

/** A queued item with what decides on its place in the order. */
export interface QueueEntry<T extends FairQueueItem> {
    readonly item: T;
    readonly account: AccountQueue<T>;
    /** The virtual time at which the item is due by the account's share of the slot time. */
    readonly tag: number;
    /** Whether the account has been given so much slot time that the item waits for other accounts, whatever its priority. */
    readonly isAheadOfShare: boolean;
    /** Whether so few items of its priority were admitted that it goes first. */
    readonly isBelowFloor: boolean;
    /** Whether the item's target can no longer be met. */
    readonly isLate: boolean;
}
