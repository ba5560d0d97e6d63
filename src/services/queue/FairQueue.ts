import type { Clock } from "../../time/index.js";
import type { AccountQueue } from "./AccountQueue.js";
import { compareQueueEntries } from "./compareQueueEntries.js";
import type { FairQueueItem } from "./FairQueueItem.js";
import { PriorityFloor } from "./PriorityFloor.js";
import type { QueueEntry } from "./QueueEntry.js";

/** Items of one account that one call inspects, which bounds its cost for long queues. */
const MAX_LOOKAHEAD = 8;
/**
 * How far an account's most urgent items may run ahead of its share, as time at that share, in milliseconds. Others may run less far
 * ahead by their priority, so that a part of the lead is kept for urgent ones.
 */
const MAX_LEAD_MS = 1_000;
/** Slot time beyond the share that is still counted against an account, as a multiple of the lead. */
const MAX_DEBT_FACTOR = 2;
/** An account whose item was refused within this time counts as one that waits, in milliseconds. */
const WANTING_MS = 1_000;

/**
 * A queue that divides slot time among accounts by their weights (start-time fair queueing). Within a bounded lead of each account,
 * the order goes by priority, then by whether the target can be met.
 */
export class FairQueue<T extends FairQueueItem> {
    readonly #clock: Clock;
    readonly #getSlots: () => number;
    readonly #accounts = new Map<string | undefined, AccountQueue<T>>();
    readonly #floor: PriorityFloor;
    /** Queued items that were added while too few of their priority were, and keep their place for that. */
    readonly #promoted = new Set<T>();
    #virtualTime = 0;
    #size = 0;

    /**
     * @param clock - The source of time.
     * @param getSlots - Gets the number of slots that the items share.
     */
    constructor(clock: Clock, getSlots: () => number) {
        this.#clock = clock;
        this.#getSlots = getSlots;
        this.#floor = new PriorityFloor(clock);
    }

    /** Gets the number of items. */
    getSize(): number {
        return this.#size;
    }

    /**
     * Records that an item asks for slot time, whether it is added or refused.
     * @param item - The item.
     */
    recordAsked(item: T): void {
        this.#floor.recordAsked(item.priority, item.cost);
    }

    /**
     * Adds an item.
     * @param item - The item to add.
     */
    add(item: T): void {
        const account = this.#getAccount(item);
        if (account.items.length === 0) {
            account.startTag = Math.max(account.startTag, this.#virtualTime);
        }
        account.weight = item.weight;
        account.items.push(item);
        if (this.#floor.isBelowFloor(item.priority, item.cost)) {
            this.#promoted.add(item);
        }
        this.#floor.recordAdmitted(item.priority, item.cost);
        this.#size++;
    }

    /**
     * Removes an item; returns whether it was queued.
     * @param item - The item to remove.
     */
    remove(item: T): boolean {
        const account = this.#accounts.get(item.account);
        const index = account?.items.indexOf(item) ?? -1;
        if (account === undefined || index < 0) {
            return false;
        }
        account.items.splice(index, 1);
        this.#size--;
        this.#promoted.delete(item);
        this.#floor.recordAdmitted(item.priority, -item.cost);
        this.#removeIdle();
        return true;
    }

    /**
     * Removes and returns the next eligible item.
     * @param isEligible - Whether an item may start now.
     */
    select(isEligible: (item: T) => boolean): T | undefined {
        const entries = this.#createEntries();
        const first = findFirst(entries);
        if (first === undefined) {
            return undefined;
        }
        if (isEligible(first.item)) {
            return this.#removeEntry(first);
        }
        const inspected = new Map<AccountQueue<T>, number>();
        const next = entries.sort(compareQueueEntries).find(entry => {
            const count = (inspected.get(entry.account) ?? 0) + 1;
            inspected.set(entry.account, count);
            return count <= MAX_LOOKAHEAD && entry !== first && isEligible(entry.item);
        });
        return next === undefined ? undefined : this.#removeEntry(next);
    }

    /**
     * Corrects an account's share for an item that used more or less slot time than expected.
     * @param name - The account of the item.
     * @param differenceMs - The used minus the expected time, in milliseconds.
     */
    recordCost(name: string | undefined, differenceMs: number): void {
        const account = this.#accounts.get(name);
        if (account !== undefined) {
            this.#recordUse(account, differenceMs);
        }
    }

    /**
     * Records that an item was refused for lack of room, so that its account counts as one that waits.
     * @param item - The item, which is not queued.
     */
    recordRefused(item: T): void {
        if (this.#size > 0) {
            this.#getAccount(item).refusedTime = this.#clock.getTime();
        }
    }

    /**
     * Gets the place that an item has, or would have if it were added.
     * @param item - The item.
     */
    getEntry(item: T): QueueEntry<T> {
        const isQueued = this.#accounts.get(item.account)?.items.includes(item) === true;
        return this.#createEntries(isQueued ? undefined : item).find(entry => entry.item === item)!;
    }

    /**
     * Measures the expected slot time of the items that would start before a new item, in milliseconds.
     * @param item - The new item.
     */
    measureWorkAhead(item: T): number {
        if (this.#size === 0) {
            return 0;
        }
        const entries = this.#createEntries(item);
        const own = entries.find(entry => entry.item === item)!;
        return entries.reduce(
            (sum, entry) => entry !== own && compareQueueEntries(entry, own) <= 0 ? sum + entry.item.cost : sum,
            0,
        );
    }

    /**
     * Finds the item whose refusal costs callers least: of those of its kind that would start last, the one that needs most slot time.
     * @param added - A new item that may be refused instead of a queued one.
     */
    findLeastUrgent(added?: T): T | undefined {
        const entries = this.#createEntries(added).sort(compareQueueEntries);
        const last = entries.at(-1);
        const rivals = entries.filter(({ item, account, isLate }) =>
            account === last?.account && item.priority === last.item.priority && isLate === last.isLate
        );
        return rivals.reduce<T | undefined>(
            (longest, { item }) => longest !== undefined && longest.cost > item.cost ? longest : item,
            undefined,
        );
    }

    /** Gets all items. */
    getItems(): readonly T[] {
        return [...this.#accounts.values()].flatMap(account => account.items);
    }

    /** Gets all items with their places, in the order in which they would start. */
    getEntries(): readonly QueueEntry<T>[] {
        return this.#createEntries().sort(compareQueueEntries);
    }

    #removeEntry({ item, account }: QueueEntry<T>): T {
        account.items.splice(account.items.indexOf(item), 1);
        this.#size--;
        this.#promoted.delete(item);
        this.#recordUse(account, item.cost);
        this.#removeIdle();
        return item;
    }

    /** Advances the virtual time as if the accounts that wait had shared the slot time. */
    #recordUse(account: AccountQueue<T>, slotTimeMs: number): void {
        const isWaiting = account.items.length > 0 || account.refusedTime > this.#getWantingTime();
        const weight = this.#getWaitingWeight() + (isWaiting ? 0 : account.weight);
        this.#virtualTime += slotTimeMs / weight;
        const maxTag = this.#virtualTime + (1 + MAX_DEBT_FACTOR) * this.#getLead(weight);
        account.startTag = Math.min(maxTag, account.startTag + slotTimeMs / account.weight);
    }

    #createEntries(added?: T): QueueEntry<T>[] {
        const now = this.#clock.getTime();
        const lead = this.#getLead(this.#getWaitingWeight());
        const addedAccount = added === undefined ? undefined : this.#accounts.get(added.account);
        const entries: QueueEntry<T>[] = [];
        const addEntries = (account: AccountQueue<T>, items: readonly T[]): void => {
            let tag = items.length > account.items.length && account.items.length === 0
                ? Math.max(account.startTag, this.#virtualTime)
                : account.startTag;
            for (const item of items) {
                entries.push({
                    item,
                    account,
                    tag,
                    isAheadOfShare: tag > this.#virtualTime + lead / (1 + item.priority),
                    isBelowFloor: this.#promoted.has(item) ||
                        (item === added && this.#floor.isBelowFloor(item.priority, item.cost)),
                    isLate: item.dueTime < now,
                });
                tag += item.cost / account.weight;
            }
        };
        for (const account of this.#accounts.values()) {
            const items = added !== undefined && account === addedAccount ? [...account.items, added] : account.items;
            addEntries(account, items.length > 1 ? getSortedItems(items, now) : items);
        }
        if (added !== undefined && addedAccount === undefined) {
            addEntries(createAccountQueue(added.weight, this.#virtualTime), [added]);
        }
        return entries;
    }

    /** Gets the weight of the accounts with queued items and of those whose items were refused lately. */
    #getWaitingWeight(): number {
        const wantingTime = this.#getWantingTime();
        let weight = 0;
        for (const account of this.#accounts.values()) {
            if (account.items.length > 0 || account.refusedTime > wantingTime) {
                weight += account.weight;
            }
        }
        return weight;
    }

    #getWantingTime(): number {
        return this.#clock.getTime() - WANTING_MS;
    }

    /** Gets the lead that urgent items may have, as virtual time. */
    #getLead(weight: number): number {
        return weight === 0 ? 0 : MAX_LEAD_MS * this.#getSlots() / weight;
    }

    #getAccount(item: T): AccountQueue<T> {
        let account = this.#accounts.get(item.account);
        if (account === undefined) {
            account = createAccountQueue(item.weight, this.#virtualTime);
            this.#accounts.set(item.account, account);
        }
        return account;
    }

    #removeIdle(): void {
        if (this.#size === 0) {
            this.#accounts.clear();
            this.#virtualTime = 0;
            return;
        }
        const wantingTime = this.#getWantingTime();
        for (const [name, account] of this.#accounts) {
            const isIdle = account.items.length === 0 && account.refusedTime <= wantingTime;
            if (isIdle && account.startTag <= this.#virtualTime) {
                this.#accounts.delete(name);
            }
        }
    }
}

function createAccountQueue<T>(weight: number, startTag: number): AccountQueue<T> {
    return { items: [], weight, startTag, refusedTime: Number.NEGATIVE_INFINITY };
}

/** Sorts the items of an account by priority, then by whether the target can be met, then by its time. */
function getSortedItems<T extends FairQueueItem>(items: readonly T[], now: number): readonly T[] {
    return [...items].sort((left, right) =>
        left.priority - right.priority || Number(left.dueTime < now) - Number(right.dueTime < now) ||
        left.dueTime - right.dueTime
    );
}

function findFirst<T extends FairQueueItem>(entries: readonly QueueEntry<T>[]): QueueEntry<T> | undefined {
    let first: QueueEntry<T> | undefined;
    for (const entry of entries) {
        if (first === undefined || compareQueueEntries(entry, first) < 0) {
            first = entry;
        }
    }
    return first;
}
