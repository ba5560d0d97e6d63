import { compareRanks } from "./compareRanks.js";
import type { FairQueueItem } from "./FairQueueItem.js";
import type { QueueEntry } from "./QueueEntry.js";

/**
 * Compares two entries by the order in which they start: by rank, then by the accounts' shares. The last one of a queue is the first
 * to be refused.
 * @param left - An entry.
 * @param right - Another entry.
 */
export function compareQueueEntries<T extends FairQueueItem>(left: QueueEntry<T>, right: QueueEntry<T>): number {
    const difference = compareRanks(left, right);
    return difference === 0 ? left.tag - right.tag : difference;
}
