import type { StoreRecord } from "./StoreRecord.js";
import type { WriteResult } from "./WriteResult.js";

/**
 * The platform's key-value store. Every call rejects with a StoreUnavailableError if no answer arrives;
 * a write may have taken effect even then.
 */
export interface Store {
    /**
     * Gets a record.
     * @param key - The record's key.
     */
    get(key: string): Promise<StoreRecord | undefined>;
    /**
     * Writes a value if the record still has the expected revision and the lease has not lapsed. Rejects with a
     * StoreValueError if the value is too large.
     * @param key - The record's key.
     * @param value - The new value, at most STORE_VALUE_LIMIT_BYTES in UTF-8.
     * @param expectedRevision - The revision that the record must have; 0 if it must not exist.
     * @param leaseId - The lease with which the record is removed; none if left out.
     */
    compareAndSwap(key: string, value: string, expectedRevision: number, leaseId?: string): Promise<WriteResult>;
    /**
     * Removes a record if it still has the expected revision.
     * @param key - The record's key.
     * @param expectedRevision - The revision that the record must have.
     */
    remove(key: string, expectedRevision: number): Promise<boolean>;
    /**
     * Waits until a record's revision differs from a known one, or until the wait ends.
     * @param key - The record's key.
     * @param knownRevision - The revision that the caller has; 0 if none.
     * @param waitMs - The maximum wait, in milliseconds.
     * @returns The current record, whether it has changed or not.
     */
    watch(key: string, knownRevision: number, waitMs: number): Promise<StoreRecord | undefined>;
    /**
     * Creates a lease and returns its id.
     * @param durationMs - The lease's duration in milliseconds.
     */
    createLease(durationMs: number): Promise<string>;
    /**
     * Renews a lease; returns false if it has lapsed.
     * @param leaseId - The lease's id.
     */
    renewLease(leaseId: string): Promise<boolean>;
    /**
     * Releases a lease and removes its records.
     * @param leaseId - The lease's id.
     */
    releaseLease(leaseId: string): Promise<void>;
}
