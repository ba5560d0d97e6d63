import type { LoanRequest } from "./LoanRequest.js";
import type { RateShare } from "./RateShare.js";
import type { TokenLoan } from "./TokenLoan.js";

const MS_PER_SECOND = 1_000;

/** A token bucket whose share may change and whose tokens may be lent. */
export class TokenBucket {
    #share: RateShare;
    #tokens: number;
    #time: number;
    /** Tokens lent that may still be on their way; they count as held here until then. */
    #loans: TokenLoan[] = [];
    #spendTime = -Infinity;
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
        this.#spendTime = time;
        return true;
    }

    /**
     * Spends a token that may still have to come; returns how long until it is there, in milliseconds, or undefined if
     * that is too long. Until then the bucket is in debt.
     * @param time - The time in milliseconds.
     * @param maxWaitMs - The longest wait.
     */
    spendAhead(time: number, maxWaitMs: number): number | undefined {
        const waitMs = this.getWaitMs(time);
        if (waitMs > maxWaitMs) {
            return undefined;
        }
        this.#tokens--;
        this.#spendTime = time + waitMs;
        return waitMs;
    }

    /**
     * Gets how long until a token is there that nobody has spent yet, in milliseconds.
     * @param time - The time in milliseconds.
     */
    getWaitMs(time: number): number {
        this.#addRefill(time);
        return Math.max(0, 1 - this.#tokens) / this.#share.rate * MS_PER_SECOND;
    }

    /** Gets when a token was spent here last, in milliseconds. */
    getLastSpendTime(): number {
        return this.#spendTime;
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
     * Takes out tokens for another host.
     * @param request - How many.
     * @param time - The time in milliseconds.
     */
    lend(request: LoanRequest, time: number): TokenLoan {
        this.#addRefill(time);
        const available = Math.min(this.#tokens, request.maximum);
        const tokens = available > 0 && available >= request.minimum ? available : 0;
        const loan = { id: request.id, tokens, end: request.end };
        if (tokens > 0) {
            this.#tokens -= tokens;
            this.#loans.push(loan);
        }
        return loan;
    }

    /**
     * Removes a loan whose tokens have arrived; returns false if it no longer counted.
     * @param id - The loan's id.
     * @param time - The time in milliseconds.
     */
    removeLoan(id: number, time: number): boolean {
        this.#addRefill(time);
        const count = this.#loans.length;
        this.#loans = this.#loans.filter(loan => loan.id !== id);
        return this.#loans.length < count;
    }

    /**
     * Whether loans will hold back the refill within a span of time.
     * @param durationMs - The span in milliseconds.
     */
    isRefillBlocked(durationMs: number): boolean {
        return this.#tokens + this.#share.rate * durationMs / MS_PER_SECOND > this.#getRoom();
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
        this.#tokens = Math.min(Math.max(0, this.#getRoom()), refilled);
        this.#time = Math.max(this.#time, time);
        if (this.#tokens > this.#getRoom() - 1) {
            this.#lastFullTime = this.#time;
        }
    }

    #getRoom(): number {
        return this.#share.burst - this.#loans.reduce((sum, loan) => sum + loan.tokens, 0);
    }
}
