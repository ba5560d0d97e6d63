import type { Head } from "./Head.js";
import type { HeadContent } from "./HeadContent.js";
import type { HeadRecord } from "./HeadRecord.js";

/** Reads and changes the head in the platform's store. Calls reject with a StoreUnavailableError without an answer. */
export interface HeadStore {
    /** Reads the head; undefined before the first change. */
    read(): Promise<HeadRecord | undefined>;
    /**
     * Waits until the head differs from a known one, or until the wait ends.
     * @param knownRevision - The revision that the caller has; 0 if none.
     * @param waitMs - The maximum wait, in milliseconds.
     */
    watch(knownRevision: number, waitMs: number): Promise<HeadRecord | undefined>;
    /**
     * Applies a change by compare-and-swap and retries after a conflict. After a lost answer, the change counts as
     * applied if its id is in the head.
     * @param changeId - Unique id of the change.
     * @param change - Returns the new content for the current head; undefined to leave it unchanged. Runs again for
     * each attempt, and may throw to cancel the change.
     * @returns The head with the change, or the unchanged head.
     */
    apply(
        changeId: string,
        change: (head: Head) => HeadContent | undefined | Promise<HeadContent | undefined>,
    ): Promise<Head>;
}
