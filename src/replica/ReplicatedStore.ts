import type { SnapshotPart } from "./SnapshotPart.js";
import type { WatchResult } from "./WatchResult.js";

/** The store that is replicated; both calls reject with a StoreUnavailableError when it gives no answer. */
export interface ReplicatedStore {
    /**
     * Reads all items.
     * @param isStaleAllowed - Whether an answer that is seconds old will do; it costs the store less.
     */
    readAll(isStaleAllowed: boolean): Promise<readonly SnapshotPart[]>;
    /**
     * Waits for changes after a revision.
     * @param revision - The revision known.
     * @param waitMs - How long to wait at most, in milliseconds.
     */
    watch(revision: number, waitMs: number): Promise<WatchResult>;
}
