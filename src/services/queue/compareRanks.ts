import type { FairQueueItem } from "./FairQueueItem.js";
import type { QueueEntry } from "./QueueEntry.js";

/**
 * Compares two entries by what a refusal costs their callers. Accounts that are ahead of their shares come last. Otherwise the
 * priority decides, unless too little of a lower one is served, then whether the target can be met.
 * @param left - An entry.
 * @param right - Another entry.
 */
export function compareRanks<T extends FairQueueItem>(left: QueueEntry<T>, right: QueueEntry<T>): number {
    if (left.isAheadOfShare !== right.isAheadOfShare) {
        return left.isAheadOfShare ? 1 : -1;
    }
    if (left.isBelowFloor !== right.isBelowFloor) {
        return left.isBelowFloor ? -1 : 1;
    }
    if (left.item.priority !== right.item.priority) {
        return left.item.priority - right.item.priority;
    }
    return Number(left.isLate) - Number(right.isLate);
}
