import { StoreLimitError, StoreUnavailableError, StoreValueError } from "../errors/index.js";
import type { Store, StoreRecord, WriteResult } from "../store/index.js";
import { STORE_VALUE_LIMIT_BYTES, WriteResultKind } from "../store/index.js";
import type { Clock, ScheduledCall } from "../time/index.js";
import { CallLimiter } from "./CallLimiter.js";
import type { FakeStoreFaults } from "./FakeStoreFaults.js";

interface Lease {
    readonly durationMs: number;
    readonly keys: Set<string>;
    expiry: ScheduledCall;
}

/** The platform's store in memory, with faults that can be changed at any time. */
export class FakeStore implements Store {
    /** The faults in force; change them at any time. */
    readonly faults: FakeStoreFaults = { isAway: false, losesWriteAnswers: false, delayMs: 0 };
    /** Number of calls by kind; a watch counts once, however long it waits. */
    readonly calls = { reads: 0, writes: 0, watches: 0, limited: 0 };
    readonly #clock: Clock;
    readonly #readLimiter: CallLimiter;
    readonly #writeLimiter: CallLimiter;
    readonly #records = new Map<string, StoreRecord>();
    readonly #watchers = new Map<string, Set<() => void>>();
    readonly #leases = new Map<string, Lease>();
    #nextRevision = 1;
    #nextLease = 1;

    /** @param clock - The source of time. */
    constructor(clock: Clock) {
        this.#clock = clock;
        this.#readLimiter = new CallLimiter(clock);
        this.#writeLimiter = new CallLimiter(clock);
    }

    /**
     * Gets a record.
     * @param key - The record's key.
     */
    async get(key: string): Promise<StoreRecord | undefined> {
        this.calls.reads++;
        this.#checkReadLimit();
        await this.#waitForAnswer();
        return this.#records.get(key);
    }

    /**
     * Writes a value if the record still has the expected revision.
     * @param key - The record's key.
     * @param value - The new value.
     * @param expectedRevision - The revision that the record must have; 0 if it must not exist.
     * @param leaseId - The lease that the record ends with.
     */
    async compareAndSwap(key: string, value: string, expectedRevision: number, leaseId?: string): Promise<WriteResult> {
        await this.#waitForWrite();
        if (Buffer.byteLength(value) > STORE_VALUE_LIMIT_BYTES) {
            throw new StoreValueError(`The value of ${key} is larger than ${STORE_VALUE_LIMIT_BYTES} bytes.`);
        }
        const current = this.#records.get(key);
        const isLapsed = leaseId !== undefined && !this.#leases.has(leaseId);
        if (isLapsed || (current?.revision ?? 0) !== expectedRevision) {
            return { kind: WriteResultKind.Conflict, current };
        }
        const revision = this.#write(key, value, leaseId);
        this.#checkAnswerIsSent();
        return { kind: WriteResultKind.Written, revision };
    }

    /**
     * Removes a record if it still has the expected revision.
     * @param key - The record's key.
     * @param expectedRevision - The revision that the record must have.
     */
    async remove(key: string, expectedRevision: number): Promise<boolean> {
        await this.#waitForWrite();
        if (this.#records.get(key)?.revision !== expectedRevision) {
            return false;
        }
        this.#removeRecord(key);
        this.#checkAnswerIsSent();
        return true;
    }

    /**
     * Waits until a record's revision differs from a known one, or until the wait ends.
     * @param key - The record's key.
     * @param knownRevision - The revision known already.
     * @param waitMs - How long to wait, in milliseconds.
     */
    async watch(key: string, knownRevision: number, waitMs: number): Promise<StoreRecord | undefined> {
        this.calls.watches++;
        this.#checkReadLimit();
        await this.#waitForAnswer();
        if ((this.#records.get(key)?.revision ?? 0) === knownRevision) {
            await this.#waitForChange(key, waitMs);
            this.#checkIsAvailable();
        }
        return this.#records.get(key);
    }

    /**
     * Creates a lease and returns its id.
     * @param durationMs - The lease's duration in milliseconds.
     */
    async createLease(durationMs: number): Promise<string> {
        await this.#waitForWrite();
        const id = `lease-${this.#nextLease++}`;
        this.#leases.set(id, { durationMs, keys: new Set(), expiry: this.#scheduleExpiry(id, durationMs) });
        this.#checkAnswerIsSent();
        return id;
    }

    /**
     * Renews a lease; returns false if it has lapsed.
     * @param leaseId - The lease's id.
     */
    async renewLease(leaseId: string): Promise<boolean> {
        await this.#waitForWrite();
        const lease = this.#leases.get(leaseId);
        if (lease === undefined) {
            return false;
        }
        lease.expiry.cancel();
        lease.expiry = this.#scheduleExpiry(leaseId, lease.durationMs);
        this.#checkAnswerIsSent();
        return true;
    }

    /**
     * Releases a lease and removes its records.
     * @param leaseId - The lease's id.
     */
    async releaseLease(leaseId: string): Promise<void> {
        await this.#waitForWrite();
        this.#removeLease(leaseId);
        this.#checkAnswerIsSent();
    }

    #write(key: string, value: string, leaseId: string | undefined): number {
        const revision = this.#nextRevision++;
        this.#releaseRecord(key);
        this.#records.set(key, { value, revision });
        if (leaseId !== undefined) {
            this.#leases.get(leaseId)?.keys.add(key);
        }
        this.#publishChange(key);
        return revision;
    }

    #removeRecord(key: string): void {
        this.#releaseRecord(key);
        this.#records.delete(key);
        this.#publishChange(key);
    }

    #releaseRecord(key: string): void {
        for (const lease of this.#leases.values()) {
            lease.keys.delete(key);
        }
    }

    #removeLease(leaseId: string): void {
        const lease = this.#leases.get(leaseId);
        lease?.expiry.cancel();
        this.#leases.delete(leaseId);
        for (const key of lease?.keys ?? []) {
            this.#removeRecord(key);
        }
    }

    #scheduleExpiry(leaseId: string, durationMs: number): ScheduledCall {
        return this.#clock.schedule(durationMs, () => this.#removeLease(leaseId));
    }

    #waitForChange(key: string, waitMs: number): Promise<void> {
        return new Promise(resolve => {
            const watchers = this.#watchers.get(key) ?? new Set();
            this.#watchers.set(key, watchers);
            const stop = (): void => {
                timer.cancel();
                watchers.delete(stop);
                resolve();
            };
            const timer = this.#clock.schedule(waitMs, stop);
            watchers.add(stop);
        });
    }

    #publishChange(key: string): void {
        for (const stop of [...this.#watchers.get(key) ?? []]) {
            stop();
        }
    }

    async #waitForWrite(): Promise<void> {
        this.calls.writes++;
        this.#checkLimit(this.#writeLimiter, this.faults.writesPerSecond);
        await this.#waitForAnswer();
    }

    #checkReadLimit(): void {
        this.#checkLimit(this.#readLimiter, this.faults.readsPerSecond);
    }

    #checkLimit(limiter: CallLimiter, limit: number | undefined): void {
        if (!limiter.admit(limit)) {
            this.calls.limited++;
            throw new StoreLimitError("The store has reached its limit of calls per second.");
        }
    }

    async #waitForAnswer(): Promise<void> {
        if (this.faults.delayMs > 0) {
            await this.#clock.wait(this.faults.delayMs);
        }
        this.#checkIsAvailable();
    }

    #checkIsAvailable(): void {
        if (this.faults.isAway) {
            throw new StoreUnavailableError("The store is unavailable.");
        }
    }

    #checkAnswerIsSent(): void {
        if (this.faults.losesWriteAnswers) {
            throw new StoreUnavailableError("The store's answer was lost.");
        }
    }
}
