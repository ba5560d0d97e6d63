import type { EncodedOutcome } from "../services/index.js";
import type { Clock } from "../time/index.js";
import { ORDER_LIMITS } from "./ORDER_LIMITS.js";
import type { OrderIdentity } from "./OrderIdentity.js";
import { OrderRecord } from "./OrderRecord.js";

const EXPIRY_CHECKS_FOR_EACH_NEW_RECORD = 2;

/** This host's order records, in memory and limited in number and bytes. */
export class OrderRecords {
    readonly #clock: Clock;
    readonly #records = new Map<string, OrderRecord>();
    readonly #countsByAccount = new Map<string | undefined, number>();
    readonly #recordsWithBody = new Set<OrderRecord>();
    #bodyBytes = 0;

    /** @param clock - The source of time. */
    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /**
     * Finds the record of an order.
     * @param account - The account's name; undefined for callers without an API key.
     * @param key - The order's key.
     */
    find(account: string | undefined, key: string): OrderRecord | undefined {
        return this.#records.get(getId(account, key));
    }

    /**
     * Whether one more record of an account may be added.
     * @param account - The account's name; undefined for callers without an API key.
     */
    hasCapacity(account: string | undefined): boolean {
        this.removeExpired(EXPIRY_CHECKS_FOR_EACH_NEW_RECORD);
        return this.#records.size < ORDER_LIMITS.maxRecords &&
            (this.#countsByAccount.get(account) ?? 0) < ORDER_LIMITS.maxRecordsOfAccount;
    }

    /**
     * Adds the record of an order that is about to run.
     * @param identity - The order's identity.
     */
    add(identity: OrderIdentity): OrderRecord {
        return this.addWithAge(identity, 0);
    }

    /**
     * Adds the record of an order that another process has started.
     * @param identity - The order's identity.
     * @param ageMs - The record's age, in milliseconds.
     */
    addWithAge(identity: OrderIdentity, ageMs: number): OrderRecord {
        const { account, key } = identity;
        const record = new OrderRecord(identity, this.#clock.getTime() - ageMs);
        this.#records.set(getId(account, key), record);
        this.#countsByAccount.set(account, (this.#countsByAccount.get(account) ?? 0) + 1);
        return record;
    }

    /**
     * Records the outcome of an order.
     * @param record - The order's record.
     * @param outcome - The outcome.
     */
    recordOutcome(record: OrderRecord, outcome: EncodedOutcome): void {
        this.recordOutcomeWithAge(record, outcome, 0);
    }

    /**
     * Records an outcome that was received from another process.
     * @param record - The order's record.
     * @param outcome - The outcome.
     * @param ageMs - The outcome's age, in milliseconds.
     */
    recordOutcomeWithAge(record: OrderRecord, outcome: EncodedOutcome, ageMs: number): void {
        record.recordOutcome(outcome, this.#clock.getTime() - ageMs);
        const bytes = record.getBodyBytes();
        if (bytes > 0) {
            this.#recordsWithBody.add(record);
            this.#bodyBytes += bytes;
            this.#removeOldestBodies();
        }
    }

    /**
     * Removes a record.
     * @param record - The record.
     */
    remove(record: OrderRecord): void {
        if (!this.#records.delete(getId(record.account, record.key))) {
            return;
        }
        this.#removeBody(record);
        const count = (this.#countsByAccount.get(record.account) ?? 1) - 1;
        if (count > 0) {
            this.#countsByAccount.set(record.account, count);
        }
        else {
            this.#countsByAccount.delete(record.account);
        }
    }

    /**
     * Removes expired records, oldest first.
     * @param limit - The maximum number of records to check.
     */
    removeExpired(limit = Infinity): void {
        const end = this.#clock.getTime() - ORDER_LIMITS.recordLifetimeMs;
        let checked = 0;
        for (const [id, record] of this.#records) {
            if (checked++ >= limit || record.getTime() > end) {
                return;
            }
            if (record.getOutcome() !== undefined) {
                this.remove(record);
            }
            else {
                this.#records.delete(id);
                this.#records.set(id, record);
            }
        }
    }

    /** Gets all records, oldest first. */
    getAll(): readonly OrderRecord[] {
        return [...this.#records.values()];
    }

    /** Gets the number of records. */
    getSize(): number {
        return this.#records.size;
    }

    #removeOldestBodies(): void {
        for (const record of this.#recordsWithBody) {
            if (this.#bodyBytes <= ORDER_LIMITS.maxAllBodyBytes) {
                return;
            }
            this.#removeBody(record);
        }
    }

    #removeBody(record: OrderRecord): void {
        if (this.#recordsWithBody.delete(record)) {
            this.#bodyBytes -= record.getBodyBytes();
            record.removeBody();
        }
    }
}

function getId(account: string | undefined, key: string): string {
    return JSON.stringify([account ?? null, key]);
}
