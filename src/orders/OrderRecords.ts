import type { EncodedOutcome } from "../services/index.js";
import type { Clock } from "../time/index.js";
import { ORDER_LIMITS } from "./ORDER_LIMITS.js";
import type { OrderIdentity } from "./OrderIdentity.js";
import { OrderRecord } from "./OrderRecord.js";

const EXPIRY_CHECKS_FOR_EACH_NEW_RECORD = 2;

/** The order records of this host, in memory and bounded. */
export class OrderRecords {
    readonly #clock: Clock;
    readonly #records = new Map<string, OrderRecord>();
    readonly #counts = new Map<string, number>();
    readonly #withBody = new Set<OrderRecord>();
    #bodyBytes = 0;

    /** @param clock - The source of time. */
    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /**
     * Finds the record of an order.
     * @param account - The account's name.
     * @param key - The order's key.
     */
    find(account: string, key: string): OrderRecord | undefined {
        return this.#records.get(getId(account, key));
    }

    /**
     * Whether one more record of an account may be added.
     * @param account - The account's name.
     */
    hasCapacity(account: string): boolean {
        this.removeExpired(EXPIRY_CHECKS_FOR_EACH_NEW_RECORD);
        return this.#records.size < ORDER_LIMITS.maxRecords &&
            (this.#counts.get(account) ?? 0) < ORDER_LIMITS.maxRecordsOfAccount;
    }

    /**
     * Adds the record of an order that is about to run.
     * @param identity - Which order it is.
     */
    add(identity: OrderIdentity): OrderRecord {
        return this.addWithAge(identity, 0);
    }

    /**
     * Adds the record of an order that another process has started.
     * @param identity - Which order it is.
     * @param ageMs - The record's age in milliseconds.
     */
    addWithAge(identity: OrderIdentity, ageMs: number): OrderRecord {
        const { account, key } = identity;
        const record = new OrderRecord(identity, this.#clock.getTime() - ageMs);
        this.#records.set(getId(account, key), record);
        this.#counts.set(account, (this.#counts.get(account) ?? 0) + 1);
        return record;
    }

    /**
     * Settles an order and keeps its outcome.
     * @param record - The order's record.
     * @param outcome - What came of it.
     */
    recordOutcome(record: OrderRecord, outcome: EncodedOutcome): void {
        this.recordOutcomeWithAge(record, outcome, 0);
    }

    /**
     * Settles an order whose outcome another process has kept.
     * @param record - The order's record.
     * @param outcome - What came of it.
     * @param ageMs - The outcome's age in milliseconds.
     */
    recordOutcomeWithAge(record: OrderRecord, outcome: EncodedOutcome, ageMs: number): void {
        record.recordOutcome(outcome, this.#clock.getTime() - ageMs);
        const bytes = record.getBodyBytes();
        if (bytes > 0) {
            this.#withBody.add(record);
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
        const count = (this.#counts.get(record.account) ?? 1) - 1;
        if (count > 0) {
            this.#counts.set(record.account, count);
        }
        else {
            this.#counts.delete(record.account);
        }
    }

    /**
     * Removes records that have outlived their time, oldest first.
     * @param limit - The most records to look at.
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

    /** Gets how many records are in memory. */
    getSize(): number {
        return this.#records.size;
    }

    #removeOldestBodies(): void {
        for (const record of this.#withBody) {
            if (this.#bodyBytes <= ORDER_LIMITS.maxAllBodyBytes) {
                return;
            }
            this.#removeBody(record);
        }
    }

    #removeBody(record: OrderRecord): void {
        if (this.#withBody.delete(record)) {
            this.#bodyBytes -= record.getBodyBytes();
            record.removeBody();
        }
    }
}

function getId(account: string, key: string): string {
    return `${account}\n${key}`;
}
