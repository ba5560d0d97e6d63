import { StoreUnavailableError } from "../../errors/index.js";
import type { Head } from "../../head/index.js";
import type { Store } from "../../store/index.js";
import { createChunkKey } from "../chunks/index.js";

/** Versions for which a retired chunk stays, for hosts that still load an older head. */
const KEPT_VERSIONS = 20;
const MAX_REMOVALS = 32;

/**
 * Removes chunks that earlier changes have retired and returns those that may still be there. A chunk counts as removed
 * only when the store has said so, since a late removal must never meet a chunk that is in use again.
 * @param store - The platform's store.
 * @param head - The head that lists them.
 */
export async function removeRetiredChunks(store: Store, head: Head): Promise<NonNullable<Head["retiredChunks"]>> {
    const remaining = { ...head.retiredChunks };
    const due = Object.keys(remaining).filter(digest => remaining[digest]! + KEPT_VERSIONS <= head.version);
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
