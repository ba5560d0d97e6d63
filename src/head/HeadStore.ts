import type { Head } from "./Head.js";
import type { HeadContent } from "./HeadContent.js";
import type { HeadRecord } from "./HeadRecord.js";

/** The head in the platform's store. Every call rejects with a StoreUnavailableError when no answer came. */
export interface HeadStore {
    /** Reads the head; undefined before the first change. */
    read(): Promise<HeadRecord | undefined>;
    /**
     * Waits until the head differs from a known one, or until the wait ends.
     * @param knownRevision - The revision known already; 0 if none.
     * @param waitMs - How long to wait, in milliseconds.
     */
    watch(knownRevision: number, waitMs: number): Promise<HeadRecord | undefined>;
    /**
     * Applies a change by compare-and-swap and tries again after a conflict. A lost answer is settled by finding the
     * change id in the head.
     * @param changeId - Unique id of the change.
     * @param change - Makes the new content from the head that stands; undefined to leave it. Version and change list
     * are filled in by the head store. May throw to give up. Runs again after each conflict.
     * @returns The head that has the change, or the head that was left.
     */
    apply(
        changeId: string,
        change: (head: Head) => HeadContent | undefined | Promise<HeadContent | undefined>,
    ): Promise<Head>;
}
