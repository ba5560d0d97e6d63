import type { ReplicaSnapshot } from "./ReplicaSnapshot.js";
import type { WatchResult } from "./WatchResult.js";

/** The store that is replicated; both calls reject with a StoreUnavailableError if it does not answer. */
export interface ReplicatedStore {
    /** Reads all items, none of them from old data. */
    readAll(): Promise<ReplicaSnapshot>;
    /**
     * Waits for changes after a revision.
     * @param revision - The known revision.
     * @param waitMs - The longest wait in milliseconds.
     */
    watch(revision: number, waitMs: number): Promise<WatchResult>;
}
