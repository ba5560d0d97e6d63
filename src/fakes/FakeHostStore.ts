import { StoreUnavailableError } from "../errors/index.js";
import type { Store, StoreRecord, WriteResult } from "../store/index.js";
import type { Clock } from "../time/index.js";

/** One host's connection to the store, which can be cut without affecting other hosts. */
export class FakeHostStore implements Store {
    /** Whether this host's calls no longer reach the store. */
    isCut = false;
    /** Whether the store's answers no longer reach this host. */
    losesAnswers = false;
    /** Additional delay of answers, in milliseconds. */
    answerDelayMs = 0;
    readonly #store: Store;
    readonly #clock: Clock;

    /**
     * @param store - The store of all hosts.
     * @param clock - The source of time.
     */
    constructor(store: Store, clock: Clock) {
        this.#store = store;
        this.#clock = clock;
    }

    /**
     * Gets a record.
     * @param key - The record's key.
     */
    get(key: string): Promise<StoreRecord | undefined> {
        return this.#run(() => this.#store.get(key));
    }

    /**
     * Writes a value if the record still has the expected revision.
     * @param key - The record's key.
     * @param value - The new value.
     * @param expectedRevision - The revision that the record must have; 0 if it must not exist.
     * @param leaseId - The lease that the record ends with.
     */
    compareAndSwap(key: string, value: string, expectedRevision: number, leaseId?: string): Promise<WriteResult> {
        return this.#run(() => this.#store.compareAndSwap(key, value, expectedRevision, leaseId));
    }

    /**
     * Removes a record if it still has the expected revision.
     * @param key - The record's key.
     * @param expectedRevision - The revision that the record must have.
     */
    remove(key: string, expectedRevision: number): Promise<boolean> {
        return this.#run(() => this.#store.remove(key, expectedRevision));
    }

    /**
     * Waits until a record's revision differs from a known one, or until the wait ends.
     * @param key - The record's key.
     * @param knownRevision - The revision known already; 0 if none.
     * @param waitMs - How long to wait, in milliseconds.
     */
    watch(key: string, knownRevision: number, waitMs: number): Promise<StoreRecord | undefined> {
        return this.#run(() => this.#store.watch(key, knownRevision, waitMs));
    }

    /**
     * Creates a lease and returns its id.
     * @param durationMs - The lease's duration in milliseconds.
     */
    createLease(durationMs: number): Promise<string> {
        return this.#run(() => this.#store.createLease(durationMs));
    }

    /**
     * Renews a lease; returns false if it has lapsed.
     * @param leaseId - The lease's id.
     */
    renewLease(leaseId: string): Promise<boolean> {
        return this.#run(() => this.#store.renewLease(leaseId));
    }

    /**
     * Releases a lease and removes its records.
     * @param leaseId - The lease's id.
     */
    releaseLease(leaseId: string): Promise<void> {
        return this.#run(() => this.#store.releaseLease(leaseId));
    }

    async #run<R>(call: () => Promise<R>): Promise<R> {
        this.#checkIsConnected(this.isCut);
        const result = await call();
        if (this.answerDelayMs > 0) {
            await this.#clock.wait(this.answerDelayMs);
        }
        this.#checkIsConnected(this.isCut || this.losesAnswers);
        return result;
    }

    #checkIsConnected(isCut: boolean): void {
        if (isCut) {
            throw new StoreUnavailableError("The store gave no answer.");
        }
    }
}
