import type { Account } from "../configuration/index.js";
import type { RateShare } from "./RateShare.js";
import type { ReceivedShare } from "./ReceivedShare.js";
import type { ShareHistory } from "./ShareHistory.js";
import { TokenBucket } from "./TokenBucket.js";

const MS_PER_SECOND = 1_000;
const FULL_TOLERANCE = 1e-6;
const MAX_FILL_MS = 600_000;
/** Added to the time that a bucket needs to fill, so that rounding leaves no token just short of whole. */
const FILL_MARGIN_MS = 1;

/** This host's bucket of one account, with the share that the views grant and the shares taken over. */
export class AccountBucket {
    readonly #history: ShareHistory;
    #account: Account;
    #bucket: TokenBucket;
    #time: number;
    #settledVersion: number | undefined;
    /** The earliest time at which a new bucket would hold no more tokens than this one. */
    #busyUntil = 0;
    readonly #extras = new Map<string, ReceivedShare>();

    /**
     * @param history - Knows the share at each time.
     * @param account - The account.
     * @param time - The time in milliseconds.
     */
    constructor(history: ShareHistory, account: Account, time: number) {
        this.#history = history;
        this.#account = account;
        this.#time = -Infinity;
        this.#bucket = new TokenBucket({ burst: 0, rate: 0 }, 0, time);
        this.apply(account, time);
    }

    /**
     * Puts the account's settings and the views in force; call it before each use.
     * @param account - The account's settings.
     * @param time - The time in milliseconds.
     */
    apply(account: Account, time: number): TokenBucket {
        const isChanged = account.rate !== this.#account.rate || account.burst !== this.#account.burst;
        if (isChanged) {
            this.#applyPoints(this.#account, time);
            this.#busyUntil = Math.max(this.#busyUntil, time + getFillMs(this.#account));
            this.#account = account;
            this.#bucket.applyShare(this.#getShare(account, time), time);
        }
        else if (this.#settledVersion !== this.#history.getViewVersion()) {
            this.#applyPoints(account, time);
        }
        this.#time = time;
        return this.#bucket;
    }

    /**
     * Whether the bucket can be dropped, as a new one would hold just as much.
     * @param time - The time in milliseconds.
     */
    isIdle(time: number): boolean {
        const bucket = this.apply(this.#account, time);
        const isFull = bucket.getTokens(time) >= bucket.getShare().burst - FULL_TOLERANCE;
        return isFull && time >= this.#busyUntil && this.#extras.size === 0 && this.#settledVersion !== undefined;
    }

    /** Gets the account's settings. */
    getAccount(): Account {
        return this.#account;
    }

    /** Gets the whole tokens of the burst that this host holds as its own, without shares taken over. */
    getOwnBurst(): number {
        const extras = [...this.#extras.values()].filter(extra => !extra.isReplacement);
        return this.#bucket.getShare().burst - extras.reduce((sum, extra) => sum + extra.burst, 0);
    }

    /** Gets the shares taken over, by the incarnation that gave them. */
    getReceivedShares(): ReadonlyMap<string, ReceivedShare> {
        return this.#extras;
    }

    /**
     * Adds a share that its holder has given up; returns false if it was added before.
     * @param incarnation - The holder's incarnation.
     * @param share - The share.
     * @param tokens - The tokens that came with it.
     * @param time - The time in milliseconds.
     */
    addReceivedShare(incarnation: string, share: ReceivedShare, tokens: number, time: number): boolean {
        if (this.#extras.has(incarnation)) {
            return false;
        }
        this.apply(this.#account, time);
        const newest = this.#history.getNewestShare(this.#account).burst;
        const burst = share.isReplacement ? Math.min(share.burst, newest) : share.burst;
        this.#extras.set(incarnation, { ...share, burst });
        this.#bucket.applyShare(this.#getShare(this.#account, time), time);
        this.#bucket.add(tokens, time);
        return true;
    }

    /**
     * Removes a share that was taken over.
     * @param incarnation - The incarnation that gave it.
     * @param time - The time in milliseconds.
     */
    removeReceivedShare(incarnation: string, time: number): void {
        this.#extras.delete(incarnation);
        this.#bucket.applyShare(this.#getShare(this.#account, time), time);
    }

    #applyPoints(account: Account, time: number): void {
        const from = Math.max(this.#time, time - getFillMs(account) - this.#history.getHoldOffMs());
        if (from > this.#time) {
            this.#bucket = new TokenBucket(this.#getShare(account, from), 0, from);
        }
        for (const point of this.#history.getChangeTimes(from, time)) {
            this.#bucket.applyShare(this.#getShare(account, point), point);
        }
        this.#bucket.applyShare(this.#getShare(account, time), time);
        const isSettled = time >= this.#history.getSettledTime();
        this.#settledVersion = isSettled ? this.#history.getViewVersion() : undefined;
    }

    #getShare(account: Account, time: number): RateShare {
        const own = this.#history.getShare(account, time);
        const newest = this.#history.getNewestShare(account).burst;
        let burst = own.burst;
        for (const extra of this.#extras.values()) {
            burst = extra.isReplacement ? Math.max(burst, Math.min(extra.burst, newest)) : burst + extra.burst;
        }
        return { burst, rate: account.burst < 1 ? 0 : account.rate * burst / Math.floor(account.burst) };
    }
}

function getFillMs(account: Account): number {
    const fillMs = account.rate > 0 ? account.burst / account.rate * MS_PER_SECOND : MAX_FILL_MS;
    return Math.min(fillMs, MAX_FILL_MS) + FILL_MARGIN_MS;
}
