import type { LoanRequest } from "./LoanRequest.js";
import type { RateShare } from "./RateShare.js";
import type { TokenLoan } from "./TokenLoan.js";

const MS_PER_SECOND = 1_000;

/** A token bucket whose rate and burst can change and whose tokens can be lent. */
export class TokenBucket {
    #share: RateShare;
    #tokens: number;
    #time: number;
    /** Lent tokens that may still be in transit; they take up capacity here until the loan expires or is removed. */
    #loans: TokenLoan[] = [];
    #lastSpendTime = -Infinity;
    /** When the bucket last had no room for one more token, in milliseconds. */
    #lastFullTime: number;

    /**
     * @param share - The rate of the refill and the burst.
     * @param tokens - The initial tokens.
     * @param time - The time in milliseconds.
     */
    constructor(share: RateShare, tokens: number, time: number) {
        this.#share = share;
        this.#tokens = Math.min(tokens, share.burst);
        this.#time = time;
        this.#lastFullTime = time;
    }

    /**
     * Gets the available tokens; negative while the bucket is in debt.
     * @param time - The time in milliseconds.
     */
    getTokens(time: number): number {
        this.#addRefill(time);
        return this.#tokens;
    }

    /** Gets the rate of the refill and the burst. */
    getShare(): RateShare {
        return this.#share;
    }

    /**
     * Applies another share; tokens above its burst are lost.
     * @param share - The share.
     * @param time - When it took effect, in milliseconds.
     */
    applyShare(share: RateShare, time: number): void {
        this.#addRefill(time);
        if (share.burst === this.#share.burst && share.rate === this.#share.rate) {
            return;
        }
        this.#share = share;
        this.#tokens = Math.min(this.#tokens, this.#getCapacity());
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
        this.#lastSpendTime = time;
        return true;
    }

    /**
     * Spends a token that may become available only later, with the bucket in debt until then; returns how long that takes, in
     * milliseconds, or undefined if it exceeds the longest wait.
     * @param time - The time in milliseconds.
     * @param maxWaitMs - The longest wait in milliseconds.
     */
    spendAhead(time: number, maxWaitMs: number): number | undefined {
        const waitMs = this.getWaitMs(time);
        if (waitMs > maxWaitMs) {
            return undefined;
        }
        this.#tokens--;
        this.#lastSpendTime = time + waitMs;
        return waitMs;
    }

    /**
     * Gets how long until a token is available, in milliseconds.
     * @param time - The time in milliseconds.
     */
    getWaitMs(time: number): number {
        this.#addRefill(time);
        return Math.max(0, 1 - this.#tokens) / this.#share.rate * MS_PER_SECOND;
    }

    /** Gets when a token of this bucket was last spent, in milliseconds. */
    getLastSpendTime(): number {
        return this.#lastSpendTime;
    }

    /**
     * Adds tokens that another host has debited; tokens above the capacity are lost.
     * @param tokens - The tokens.
     * @param time - The time in milliseconds.
     */
    add(tokens: number, time: number): void {
        this.#addRefill(time);
        this.#tokens = Math.max(this.#tokens, Math.min(this.#getCapacity(), this.#tokens + tokens));
    }

    /**
     * Gives back a spent token, unless the bucket was full in the meantime, so that the token would have been lost.
     * @param spentTime - When it was spent, in milliseconds.
     * @param time - The time in milliseconds.
     */
    restore(spentTime: number, time: number): void {
        this.#addRefill(time);
        if (this.#lastFullTime <= spentTime) {
            this.#tokens = Math.max(this.#tokens, Math.min(this.#getCapacity(), this.#tokens + 1));
        }
    }

    /**
     * Lends tokens to another host.
     * @param request - How many tokens, and when the loan expires.
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
     * Removes a loan whose tokens have arrived; returns false if it had expired.
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
     * Whether outstanding loans limit the refill within a time.
     * @param durationMs - The time in milliseconds.
     */
    isRefillBlocked(durationMs: number): boolean {
        return this.#tokens + this.#share.rate * durationMs / MS_PER_SECOND > this.#getCapacity();
    }

    /**
     * Takes out all tokens; a debt stays.
     * @param time - The time in milliseconds.
     */
    drain(time: number): number {
        this.#addRefill(time);
        const tokens = Math.max(0, this.#tokens);
        this.#tokens -= tokens;
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
        this.#tokens = Math.min(Math.max(0, this.#getCapacity()), refilled);
        this.#time = Math.max(this.#time, time);
        if (this.#tokens > this.#getCapacity() - 1) {
            this.#lastFullTime = this.#time;
        }
    }

    #getCapacity(): number {
        return this.#share.burst - this.#loans.reduce((sum, loan) => sum + loan.tokens, 0);
    }
}
