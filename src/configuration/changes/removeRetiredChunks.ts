import { StoreUnavailableError } from "../../errors/index.js";
import type { Head } from "../../head/index.js";
import type { Store } from "../../store/index.js";
import { createChunkKey } from "../chunks/index.js";

/** Number of versions for which a retired chunk is kept, because some hosts may still load an older head. */
const RETENTION_VERSIONS = 20;
const MAX_REMOVALS = 32;

/**
 * Removes chunks that earlier changes have retired and returns those that may still exist. A chunk counts as removed only
 * once the store has confirmed it, because a delayed removal must never delete a chunk that is in use again.
 * @param store - The platform's store.
 * @param head - The head that lists the retired chunks.
 */
export async function removeRetiredChunks(store: Store, head: Head): Promise<NonNullable<Head["retiredChunks"]>> {
    const remaining = { ...head.retiredChunks };
    const due = Object.keys(remaining).filter(digest => remaining[digest]! + RETENTION_VERSIONS <= head.version);
    try {
        for (const digest of due.slice(0, MAX_REMOVALS)) {
            const key = createChunkKey(digest);
            const record = await store.get(key);
            if (record === undefined || await store.remove(key, record.revision)) {
                delete remaining[digest];
            }
        }
    }
    catch (error) {
        if (!(error instanceof StoreUnavailableError)) {
            throw error;
        }
    }
    return remaining;
}
