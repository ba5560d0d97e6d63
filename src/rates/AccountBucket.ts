import type { Account } from "../configuration/index.js";
import type { RateShare } from "./RateShare.js";
import type { ReceivedShare } from "./ReceivedShare.js";
import type { ShareHistory } from "./ShareHistory.js";
import { TokenBucket } from "./TokenBucket.js";

const MS_PER_SECOND = 1_000;
const FULL_TOLERANCE_TOKENS = 1e-6;
const MAX_FILL_MS = 600_000;
/** Added to the fill time, as rounding could otherwise leave the last token just below 1. */
const FILL_MARGIN_MS = 1;

/** This host's token bucket for one account; its share comes from the membership views plus shares received from other hosts. */
export class AccountBucket {
    readonly #history: ShareHistory;
    #account: Account;
    #bucket: TokenBucket;
    #time: number;
    /** The view version that is fully applied; undefined while its hold-off runs. */
    #appliedViewVersion: number | undefined;
    /** Before this time, in milliseconds, a new bucket could hold more tokens than this one, so this one must not be dropped. */
    #keepUntil = 0;
    readonly #receivedShares = new Map<string, ReceivedShare>();

    /**
     * @param history - The share that this host holds at each time.
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
     * Applies the account's settings and the view changes up to a time and returns the bucket; call it before each use.
     * @param account - The account's settings.
     * @param time - The time in milliseconds.
     */
    apply(account: Account, time: number): TokenBucket {
        const isChanged = account.rate !== this.#account.rate || account.burst !== this.#account.burst;
        if (isChanged) {
            this.#applyViewChanges(this.#account, time);
            this.#keepUntil = Math.max(this.#keepUntil, time + getFillMs(this.#account));
            this.#account = account;
            this.#bucket.applyShare(this.#getShare(account, time), time);
        }
        else if (this.#appliedViewVersion !== this.#history.getViewVersion()) {
            this.#applyViewChanges(account, time);
        }
        this.#time = time;
        return this.#bucket;
    }

    /**
     * Whether the bucket can be dropped because a new one would hold the same tokens.
     * @param time - The time in milliseconds.
     */
    isIdle(time: number): boolean {
        const bucket = this.apply(this.#account, time);
        const isFull = bucket.getTokens(time) >= bucket.getShare().burst - FULL_TOLERANCE_TOKENS;
        return isFull && time >= this.#keepUntil && this.#receivedShares.size === 0 &&
            this.#appliedViewVersion !== undefined;
    }

    /** Gets the account's settings. */
    getAccount(): Account {
        return this.#account;
    }

    /** Gets this host's own share of the burst in whole tokens, without shares received from other hosts. */
    getOwnBurst(): number {
        const additional = [...this.#receivedShares.values()].filter(share => !share.isReplacement);
        return this.#bucket.getShare().burst - additional.reduce((sum, share) => sum + share.burst, 0);
    }

    /** Gets the received shares by the incarnation of the host that handed them over. */
    getReceivedShares(): ReadonlyMap<string, ReceivedShare> {
        return this.#receivedShares;
    }

    /**
     * Adds a share that another host has handed over; returns false if it was added before.
     * @param incarnation - The incarnation of the host that handed it over.
     * @param share - The share.
     * @param tokens - The tokens handed over with it.
     * @param time - The time in milliseconds.
     */
    addReceivedShare(incarnation: string, share: ReceivedShare, tokens: number, time: number): boolean {
        if (this.#receivedShares.has(incarnation)) {
            return false;
        }
        this.apply(this.#account, time);
        const newest = this.#history.getNewestShare(this.#account).burst;
        const burst = share.isReplacement ? Math.min(share.burst, newest) : share.burst;
        this.#receivedShares.set(incarnation, { ...share, burst });
        this.#bucket.applyShare(this.#getShare(this.#account, time), time);
        this.#bucket.add(tokens, time);
        return true;
    }

    /**
     * Removes a received share.
     * @param incarnation - The incarnation of the host that handed it over.
     * @param time - The time in milliseconds.
     */
    removeReceivedShare(incarnation: string, time: number): void {
        this.#receivedShares.delete(incarnation);
        this.#bucket.applyShare(this.#getShare(this.#account, time), time);
    }

    #applyViewChanges(account: Account, time: number): void {
        const from = Math.max(this.#time, time - getFillMs(account) - this.#history.getHoldOffMs());
        if (from > this.#time) {
            this.#bucket = new TokenBucket(this.#getShare(account, from), 0, from);
        }
        for (const changeTime of this.#history.getChangeTimes(from, time)) {
            this.#bucket.applyShare(this.#getShare(account, changeTime), changeTime);
        }
        this.#bucket.applyShare(this.#getShare(account, time), time);
        const isSettled = time >= this.#history.getSettledTime();
        this.#appliedViewVersion = isSettled ? this.#history.getViewVersion() : undefined;
    }

    #getShare(account: Account, time: number): RateShare {
        const own = this.#history.getShare(account, time);
        const newest = this.#history.getNewestShare(account).burst;
        let burst = own.burst;
        for (const received of this.#receivedShares.values()) {
            burst = received.isReplacement
                ? Math.max(burst, Math.min(received.burst, newest))
                : burst + received.burst;
        }
        return { burst, rate: account.burst < 1 ? 0 : account.rate * burst / Math.floor(account.burst) };
    }
}

function getFillMs(account: Account): number {
    const fillMs = account.rate > 0 ? account.burst / account.rate * MS_PER_SECOND : MAX_FILL_MS;
    return Math.min(fillMs, MAX_FILL_MS) + FILL_MARGIN_MS;
}
