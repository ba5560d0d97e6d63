import { StoreUnavailableError } from "../errors/index.js";
import type { Head, HeadRecord, HeadStore } from "../head/index.js";
import { type Store, type StoreRecord, WriteResultKind } from "../store/index.js";

const KEY = "head";
const KEPT_CHANGES = 200;
const MAX_ATTEMPTS = 20;
const EMPTY_HEAD: Head = { version: 0, sections: {}, view: { version: 0, members: [] }, changes: [] };

/** A plain head store for tests of what uses it. */
export class FakeHeadStore implements HeadStore {
    readonly #store: Store;

    /** @param store - Holds the record. */
    constructor(store: Store) {
        this.#store = store;
    }

    /** Reads the head; undefined before the first change. */
    async read(): Promise<HeadRecord | undefined> {
        return parseRecord(await this.#store.get(KEY));
    }

    /**
     * Waits until the head differs from a known one, or until the wait ends.
     * @param knownRevision - The revision known already; 0 if none.
     * @param waitMs - How long to wait, in milliseconds.
     */
    async watch(knownRevision: number, waitMs: number): Promise<HeadRecord | undefined> {
        return parseRecord(await this.#store.watch(KEY, knownRevision, waitMs));
    }

    /**
     * Applies a change by compare-and-swap and tries again after a conflict or a lost answer.
     * @param changeId - Unique id of the change.
     * @param change - Makes the new content; undefined to leave the head.
     */
    async apply(changeId: string, change: Parameters<HeadStore["apply"]>[1]): Promise<Head> {
        for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            const record = await this.read();
            const head = record?.head ?? EMPTY_HEAD;
            const content = head.changes.some(known => known.id === changeId) ? undefined : await change(head);
            if (content === undefined) {
                return head;
            }
            const next = createHead(head, changeId, content);
            if (await this.#write(next, record?.revision ?? 0)) {
                return next;
            }
        }
        throw new StoreUnavailableError("Too many conflicts.");
    }

    async #write(head: Head, expectedRevision: number): Promise<boolean> {
        try {
            const result = await this.#store.compareAndSwap(KEY, JSON.stringify(head), expectedRevision);
            return result.kind === WriteResultKind.Written;
        }
        catch (error) {
            if (error instanceof StoreUnavailableError) {
                return false;
            }
            throw error;
        }
    }
}

function parseRecord(record: StoreRecord | undefined): HeadRecord | undefined {
    return record && { head: JSON.parse(record.value) as Head, revision: record.revision };
}

function createHead(head: Head, id: string, content: Omit<Head, "version" | "changes">): Head {
    const version = head.version + 1;
    const changes = [...head.changes, { id, version }].slice(-KEPT_CHANGES);
    return { sections: content.sections, view: content.view, nextView: content.nextView, version, changes };
}
