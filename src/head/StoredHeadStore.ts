import { StoreUnavailableError, TooManyConflictsError, UnknownChangeOutcomeError } from "../errors/index.js";
import type { RandomSource } from "../random/index.js";
import { type Store, type StoreRecord, type WriteResult, WriteResultKind } from "../store/index.js";
import type { Clock } from "../time/index.js";
import { createEmptyHead } from "./createEmptyHead.js";
import type { Head } from "./Head.js";
import type { HeadChange } from "./HeadChange.js";
import type { HeadContent } from "./HeadContent.js";
import type { HeadRecord } from "./HeadRecord.js";
import type { HeadStore } from "./HeadStore.js";
import type { StoredHeadStoreOptions } from "./StoredHeadStoreOptions.js";

const HEAD_KEY = "head";
const MAX_KEPT_CHANGES = 200;
const MAX_CONFLICTS = 50;
const MAX_LOST_ANSWERS = 5;
const CONFLICT_BACKOFF_MS = 20;
const LOST_ANSWER_BACKOFF_MS = 100;

/** Keeps the head as one record of the platform's store. */
export class StoredHeadStore implements HeadStore {
    readonly #store: Store;
    readonly #clock: Clock;
    readonly #random: RandomSource;

    /** @param options - Dependencies. */
    constructor(options: StoredHeadStoreOptions) {
        this.#store = options.store;
        this.#clock = options.clock;
        this.#random = options.random;
    }

    /** Reads the head; undefined before the first change. */
    async read(): Promise<HeadRecord | undefined> {
        return decodeHead(await this.#store.get(HEAD_KEY));
    }

    /**
     * Waits until the head differs from a known one, or until the wait ends.
     * @param knownRevision - The revision that the caller has; 0 if none.
     * @param waitMs - The maximum wait, in milliseconds.
     */
    async watch(knownRevision: number, waitMs: number): Promise<HeadRecord | undefined> {
        return decodeHead(await this.#store.watch(HEAD_KEY, knownRevision, waitMs));
    }

    /**
     * Applies a change by compare-and-swap and retries after a conflict. After a lost answer, the change counts as
     * applied if its id is in the head. Throws an UnknownChangeOutcomeError if the change list no longer reaches back to the
     * attempt, since its outcome is then unknown.
     * @param changeId - Unique id of the change.
     * @param change - Returns the new content for the current head; undefined to leave it unchanged.
     * @returns The head with the change, or the unchanged head.
     */
    async apply(
        changeId: string,
        change: (head: Head) => HeadContent | undefined | Promise<HeadContent | undefined>,
    ): Promise<Head> {
        let unconfirmedVersion: number | undefined;
        let lostAnswers = 0;
        let conflicts = 0;
        for (;;) {
            const record = await this.#readHead(unconfirmedVersion !== undefined);
            const head = record?.head ?? createEmptyHead();
            if (head.changes.some(known => known.id === changeId)) {
                return head;
            }
            checkOutcomeIsKnown(head, changeId, unconfirmedVersion);
            checkAttemptLimits(changeId, conflicts, lostAnswers);
            const content = await change(head);
            if (content === undefined) {
                return head;
            }
            const next = createNextHead(head, changeId, content);
            const result = await this.#write(next, record?.revision ?? 0);
            if (result?.kind === WriteResultKind.Written) {
                return next;
            }
            if (result === undefined) {
                unconfirmedVersion = next.version;
                lostAnswers++;
                continue;
            }
            conflicts++;
            await this.#waitBeforeRetry(CONFLICT_BACKOFF_MS);
        }
    }

    async #write(head: Head, expectedRevision: number): Promise<WriteResult | undefined> {
        try {
            return await this.#store.compareAndSwap(HEAD_KEY, JSON.stringify(head), expectedRevision);
        }
        catch (error) {
            if (error instanceof StoreUnavailableError) {
                return undefined;
            }
            throw error;
        }
    }

    async #readHead(isAnswerLost: boolean): Promise<HeadRecord | undefined> {
        for (let attempt = 1; isAnswerLost && attempt < MAX_LOST_ANSWERS; attempt++) {
            await this.#waitBeforeRetry(LOST_ANSWER_BACKOFF_MS * attempt);
            try {
                return await this.read();
            }
            catch (error) {
                if (!(error instanceof StoreUnavailableError)) {
                    throw error;
                }
            }
        }
        return await this.read();
    }

    #waitBeforeRetry(backoffMs: number): Promise<void> {
        return this.#clock.wait(backoffMs * (0.5 + this.#random.getNext()));
    }
}

function decodeHead(record: StoreRecord | undefined): HeadRecord | undefined {
    return record && { head: JSON.parse(record.value) as Head, revision: record.revision };
}

function checkOutcomeIsKnown(head: Head, changeId: string, unconfirmedVersion: number | undefined): void {
    const oldest = head.changes[0]?.version ?? 0;
    if (unconfirmedVersion !== undefined && head.version >= unconfirmedVersion && oldest > unconfirmedVersion) {
        throw new UnknownChangeOutcomeError(changeId);
    }
}

function checkAttemptLimits(changeId: string, conflicts: number, lostAnswers: number): void {
    if (conflicts >= MAX_CONFLICTS) {
        throw new TooManyConflictsError(changeId);
    }
    if (lostAnswers >= MAX_LOST_ANSWERS) {
        throw new StoreUnavailableError(`The store gave no answer to change ${changeId}.`);
    }
}

function createNextHead(head: Head, changeId: string, content: HeadContent): Head {
    const { auditKey, changeDigest, ...rest } = content;
    const version = head.version + 1;
    const added: HeadChange = {
        id: changeId,
        version,
        ...(auditKey && { auditKey }),
        ...(changeDigest && { digest: changeDigest }),
    };
    return {
        removedSections: head.removedSections,
        retiredChunks: head.retiredChunks,
        ...rest,
        lastAuditKey: auditKey ?? head.lastAuditKey,
        version,
        changes: [...head.changes, added].slice(-MAX_KEPT_CHANGES),
    };
}
