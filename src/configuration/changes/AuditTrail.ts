import { AuditTrailBrokenError } from "../../errors/index.js";
import type { Head } from "../../head/index.js";
import type { Store } from "../../store/index.js";
import { createDigest } from "../chunks/index.js";
import type { AuditEntry } from "./AuditEntry.js";
import type { AuditRecord } from "./AuditRecord.js";
import { writeImmutable } from "./writeImmutable.js";

/** The hash chain of audit records of all changes by operators, in the platform's store. */
export class AuditTrail {
    readonly #store: Store;

    /** @param store - The platform's store. */
    constructor(store: Store) {
        this.#store = store;
    }

    /**
     * Writes a record and returns its key.
     * @param record - The record.
     */
    async write(record: AuditRecord): Promise<string> {
        const text = JSON.stringify(record);
        const key = `audit/${record.version}-${createDigest(text)}`;
        await writeImmutable(this.#store, key, text);
        return key;
    }

    /**
     * Reads the latest records, newest first, and checks each one against the digest in its key.
     * @param head - The head to start from.
     * @param limit - Largest number of records to read.
     */
    async read(head: Head, limit: number): Promise<AuditEntry[]> {
        const entries: AuditEntry[] = [];
        let key = head.lastAuditKey;
        while (key !== undefined && entries.length < limit) {
            const record = await this.readRecord(key);
            entries.push({ key, record });
            key = record.previous;
        }
        return entries;
    }

    /**
     * Finds the record of a change among the records after a version.
     * @param head - The head to start from.
     * @param changeId - The change's id.
     * @param baseVersion - The version at which the search ends.
     */
    async findChange(head: Head, changeId: string, baseVersion: number): Promise<AuditEntry | undefined> {
        let key = head.lastAuditKey;
        while (key !== undefined) {
            const record = await this.readRecord(key);
            if (record.version <= baseVersion) {
                return undefined;
            }
            if (record.changeId === changeId) {
                return { key, record };
            }
            key = record.previous;
        }
        return undefined;
    }

    /**
     * Reads a record and checks it against the digest in its key.
     * @param key - The record's store key.
     */
    async readRecord(key: string): Promise<AuditRecord> {
        const stored = await this.#store.get(key);
        if (stored === undefined || !key.endsWith(`-${createDigest(stored.value)}`)) {
            throw new AuditTrailBrokenError(key);
        }
        return JSON.parse(stored.value) as AuditRecord;
    }
}
