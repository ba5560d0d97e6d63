import type { RateShare } from "./RateShare.js";

const MS_PER_SECOND = 1_000;

/** A token bucket whose share may change and whose tokens may be lent. */
export class TokenBucket {
    #share: RateShare;
    #tokens: number;
    #time: number;
    /** Tokens lent that may still be on their way; they count as held here until then. */
    #loans: { readonly tokens: number; readonly end: number; }[] = [];
    /** When the bucket last was so full that a token given back would not have fitted. */
    #lastFullTime: number;

    /**
     * @param share - The share that the bucket refills by.
     * @param tokens - The tokens that it starts with.
     * @param time - The time in milliseconds.
     */
    constructor(share: RateShare, tokens: number, time: number) {
        this.#share = share;
        this.#tokens = Math.min(tokens, share.burst);
        this.#time = time;
        this.#lastFullTime = time;
    }

    /**
     * Gets the tokens held.
     * @param time - The time in milliseconds.
     */
    getTokens(time: number): number {
        this.#addRefill(time);
        return this.#tokens;
    }

    /** Gets the share that the bucket refills by. */
    getShare(): RateShare {
        return this.#share;
    }

    /**
     * Puts another share in force; tokens above it are lost.
     * @param share - The share.
     * @param time - When it came into force, in milliseconds.
     */
    applyShare(share: RateShare, time: number): void {
        this.#addRefill(time);
        if (share.burst === this.#share.burst && share.rate === this.#share.rate) {
            return;
        }
        this.#share = share;
        this.#tokens = Math.min(this.#tokens, this.#getRoom());
        this.#lastFullTime = Math.max(this.#lastFullTime, time);
    }

    /**
     * Spends one token; returns false if there is none.
     * @param time - The time in milliseconds.
     */
    spend(time: number): boolean {
        this.#addRefill(time);
        if (this.#tokens < 1) {
            return false;
        }
        this.#tokens--;
        return true;
    }

    /**
     * Adds tokens that another host has debited; what does not fit is lost.
     * @param tokens - The tokens.
     * @param time - The time in milliseconds.
     */
    add(tokens: number, time: number): void {
        this.#addRefill(time);
        this.#tokens = Math.max(this.#tokens, Math.min(this.#getRoom(), this.#tokens + tokens));
    }

    /**
     * Gives back a spent token, unless the bucket would have overflowed with it meanwhile.
     * @param spentTime - When it was spent, in milliseconds.
     * @param time - The time in milliseconds.
     */
    restore(spentTime: number, time: number): void {
        this.#addRefill(time);
        if (this.#lastFullTime <= spentTime) {
            this.#tokens = Math.max(this.#tokens, Math.min(this.#getRoom(), this.#tokens + 1));
        }
    }

    /**
     * Takes out tokens for another host; returns how many.
     * @param minimum - Fewer than this are not given.
     * @param maximum - The most to give.
     * @param loanMs - How long they may be on their way, in milliseconds.
     * @param time - The time in milliseconds.
     */
    grant(minimum: number, maximum: number, loanMs: number, time: number): number {
        this.#addRefill(time);
        const tokens = Math.min(this.#tokens, maximum);
        if (tokens <= 0 || tokens < minimum) {
            return 0;
        }
        this.#tokens -= tokens;
        this.#loans.push({ tokens, end: time + loanMs });
        return tokens;
    }

    /**
     * Takes out all tokens.
     * @param time - The time in milliseconds.
     */
    drain(time: number): number {
        this.#addRefill(time);
        const tokens = this.#tokens;
        this.#tokens = 0;
        return tokens;
    }

    #addRefill(time: number): void {
        for (let loan = this.#loans[0]; loan !== undefined && loan.end <= time; loan = this.#loans[0]) {
            this.#addRefillUntil(loan.end);
            this.#loans.shift();
        }
        this.#addRefillUntil(time);
    }

    #addRefillUntil(time: number): void {
        const elapsedMs = Math.max(0, time - this.#time);
        const refilled = this.#tokens + this.#share.rate * elapsedMs / MS_PER_SECOND;
        this.#tokens = Math.max(0, Math.min(this.#getRoom(), refilled));
        this.#time = Math.max(this.#time, time);
        if (this.#tokens > this.#getRoom() - 1) {
            this.#lastFullTime = this.#time;
        }
    }

    #getRoom(): number {
        return this.#share.burst - this.#loans.reduce((sum, loan) => sum + loan.tokens, 0);
    }
}
