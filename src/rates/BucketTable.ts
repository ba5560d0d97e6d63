import type { Account } from "../configuration/index.js";
import { AccountBucket } from "./AccountBucket.js";
import type { RateLimiterOptions } from "./RateLimiterOptions.js";
import { ShareHistory } from "./ShareHistory.js";

const IDLE_CHECKS_PER_NEW_BUCKET = 2;

/** The token buckets of the accounts in use on this host; idle ones are dropped as new ones are created. */
export class BucketTable {
    readonly #history: ShareHistory;
    readonly #buckets = new Map<string, AccountBucket>();

    /** @param options - Clock and membership. */
    constructor(options: Pick<RateLimiterOptions, "clock" | "membership">) {
        this.#history = new ShareHistory(options.clock, options.membership);
    }

    /**
     * Gets the bucket of an account and creates it if there is none.
     * @param account - The account.
     * @param time - The time in milliseconds.
     */
    get(account: Account, time: number): AccountBucket {
        const existing = this.#buckets.get(account.name);
        if (existing !== undefined) {
            return existing;
        }
        this.#removeIdle(time);
        const bucket = new AccountBucket(this.#history, account, time);
        this.#buckets.set(account.name, bucket);
        return bucket;
    }

    /**
     * Finds the bucket of an account.
     * @param account - The account's name.
     */
    find(account: string): AccountBucket | undefined {
        return this.#buckets.get(account);
    }

    /** Gets all buckets by account name. */
    getAll(): ReadonlyMap<string, AccountBucket> {
        return this.#buckets;
    }

    /** Gets how many buckets are in memory. */
    getSize(): number {
        return this.#buckets.size;
    }

    #removeIdle(time: number): void {
        let checked = 0;
        for (const [name, bucket] of this.#buckets) {
            if (checked++ >= IDLE_CHECKS_PER_NEW_BUCKET) {
                return;
            }
            this.#buckets.delete(name);
            if (!bucket.isIdle(time)) {
                this.#buckets.set(name, bucket);
            }
        }
    }
}
