import type { FairQueueItem } from "./FairQueueItem.js";

/** Items of one account that one call inspects, which bounds its cost for long queues. */
const MAX_LOOKAHEAD = 8;

interface AccountQueue<T> {
    readonly items: T[];
    weight: number;
    /** The virtual time at which the first item may start. */
    startTag: number;
}

/** A queue that divides slot time among accounts by their weights (start-time fair queueing). */
export class FairQueue<T extends FairQueueItem> {
    readonly #accounts = new Map<string | undefined, AccountQueue<T>>();
    #virtualTime = 0;
    #size = 0;

    /** Gets the number of items. */
    getSize(): number {
        return this.#size;
    }

    /**
     * Adds an item at the end of its account's queue.
     * @param item - The item to add.
     */
    add(item: T): void {
        const queue = this.#getAccount(item);
        if (queue.items.length === 0) {
            queue.startTag = Math.max(queue.startTag, this.#virtualTime);
        }
        queue.weight = item.weight;
        queue.items.push(item);
        this.#size++;
    }

    /**
     * Removes an item; returns whether it was queued.
     * @param item - The item to remove.
     */
    remove(item: T): boolean {
        const queue = this.#accounts.get(item.account);
        const index = queue?.items.indexOf(item) ?? -1;
        if (queue === undefined || index < 0) {
            return false;
        }
        queue.items.splice(index, 1);
        this.#size--;
        this.#removeIdle();
        return true;
    }

    /**
     * Removes and returns the next eligible item, of the account that is furthest behind its share.
     * @param isEligible - Whether an item may start now.
     */
    select(isEligible: (item: T) => boolean): T | undefined {
        const waiting = [...this.#accounts.values()].filter(queue => queue.items.length > 0);
        while (waiting.length > 0) {
            const next = findEarliest(waiting);
            const queue = waiting[next]!;
            const index = queue.items.slice(0, MAX_LOOKAHEAD).findIndex(isEligible);
            if (index >= 0) {
                return this.#removeItem(queue, index);
            }
            waiting.splice(next, 1);
        }
        return undefined;
    }

    /**
     * Corrects an account's start tag for an item that used more or less slot time than expected.
     * @param account - The account of the item.
     * @param differenceMs - The used minus the expected time, in milliseconds.
     */
    recordCost(account: string | undefined, differenceMs: number): void {
        const queue = this.#accounts.get(account);
        if (queue !== undefined) {
            queue.startTag += differenceMs / queue.weight;
        }
    }

    /**
     * Estimates how many items would start before a new item of an account.
     * @param account - The account.
     * @param weight - The weight of the account.
     */
    measureItemsAhead(account: string | undefined, weight: number): number {
        const own = this.#accounts.get(account)?.items.length ?? 0;
        const rounds = (own + 1) / weight;
        let ahead = own;
        for (const [name, queue] of this.#accounts) {
            if (name !== account) {
                ahead += Math.min(queue.items.length, queue.weight * rounds);
            }
        }
        return ahead;
    }

    /** Finds the newest item of the account with the greatest queue length divided by weight. */
    findNewestOfLongest(): T | undefined {
        let longest: AccountQueue<T> | undefined;
        for (const queue of this.#accounts.values()) {
            if (longest === undefined || getWeightedLength(queue) > getWeightedLength(longest)) {
                longest = queue;
            }
        }
        return longest?.items.at(-1);
    }

    /**
     * Measures the length of an account's queue divided by its weight.
     * @param account - The account.
     */
    measureWeightedLength(account: string | undefined): number {
        const queue = this.#accounts.get(account);
        return queue === undefined ? 0 : getWeightedLength(queue);
    }

    /** Gets all items. */
    getItems(): readonly T[] {
        return [...this.#accounts.values()].flatMap(queue => queue.items);
    }

    #removeItem(queue: AccountQueue<T>, index: number): T {
        const item = queue.items.splice(index, 1)[0]!;
        this.#size--;
        this.#virtualTime = Math.max(this.#virtualTime, queue.startTag);
        queue.startTag += item.cost / item.weight;
        this.#removeIdle();
        return item;
    }

    #getAccount(item: T): AccountQueue<T> {
        let queue = this.#accounts.get(item.account);
        if (queue === undefined) {
            queue = { items: [], weight: item.weight, startTag: this.#virtualTime };
            this.#accounts.set(item.account, queue);
        }
        return queue;
    }

    #removeIdle(): void {
        if (this.#size === 0) {
            this.#accounts.clear();
            this.#virtualTime = 0;
            return;
        }
        for (const [name, queue] of this.#accounts) {
            if (queue.items.length === 0 && queue.startTag <= this.#virtualTime) {
                this.#accounts.delete(name);
            }
        }
    }
}

function getWeightedLength<T>(queue: AccountQueue<T>): number {
    return queue.items.length / queue.weight;
}

function findEarliest<T>(queues: readonly AccountQueue<T>[]): number {
    let earliest = 0;
    for (let index = 1; index < queues.length; index++) {
        if (queues[index]!.startTag < queues[earliest]!.startTag) {
            earliest = index;
        }
    }
    return earliest;
}
