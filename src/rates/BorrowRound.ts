import type { Member } from "../head/index.js";
import type { BorrowRoundOptions } from "./BorrowRoundOptions.js";
import type { RateGrant } from "./RateGrant.js";
import type { WaitingRequest } from "./WaitingRequest.js";

const MIN_ADVANCE_TOKENS = 1;
/** Tokens borrowed in advance equal the account's refill in this time. */
const ADVANCE_REFILL_MS = 100;
const MS_PER_SECOND = 1_000;
const MAX_ROUND_PAUSE_MS = 100;

/** Borrows tokens for all waiting requests from the other account hosts, one host after another. */
export class BorrowRound {
    readonly #options: BorrowRoundOptions;
    #waiting: WaitingRequest[] = [];
    #pass = 0;
    #hasEnded = false;

    /** @param options - Dependencies and the account. */
    constructor(options: BorrowRoundOptions) {
        this.#options = options;
    }

    /** Waits for a token; resolves to undefined if the other hosts had too few. */
    waitForToken(): Promise<RateGrant | undefined> {
        if (this.#hasEnded) {
            return Promise.resolve(undefined);
        }
        return new Promise(resolve => this.#waiting.push({ pass: this.#pass, resolve }));
    }

    /** Runs the round. If there were too few tokens, it ends only after a pause, which limits the calls during a flood of requests. */
    async run(): Promise<void> {
        await Promise.resolve();
        let isRefused: boolean;
        do {
            const received = await this.#runPass();
            isRefused = this.#waiting.length > 0;
            this.#refuseWaiting(received > 0 ? this.#pass : Infinity);
        }
        while (this.#waiting.length > 0);
        this.#hasEnded = true;
        if (isRefused) {
            await this.#waitForNextRound();
        }
    }

    /** Asks each host once while requests wait; returns the number of tokens received. */
    async #runPass(): Promise<number> {
        this.#pass++;
        let received = 0;
        for (const host of this.#options.lenders.getHosts(this.#options.account.name)) {
            received += await this.#borrowFrom(host);
            if (this.#waiting.length === 0) {
                break;
            }
        }
        return received;
    }

    async #borrowFrom(host: Member): Promise<number> {
        const now = this.#options.clock.getTime();
        const bucket = this.#options.getBucket(now);
        const available = bucket?.getTokens(now) ?? 0;
        const burst = bucket?.getShare().burst ?? 0;
        const needed = Math.max(0, this.#waiting.length - available);
        const minimum = needed > 0 && burst < 1 ? 1 : 0;
        const advance = Math.min(this.#getAdvanceTokens(), Math.max(0, burst - available));
        const { account, lenders } = this.#options;
        const result = await lenders.borrow(host, { account: account.name, minimum, needed, advance });
        if (result.tokens > 0) {
            this.#spendReceived(result.tokens);
        }
        return result.tokens;
    }

    /** Spends received tokens on the waiting requests; only the rest goes into the bucket. */
    #spendReceived(received: number): void {
        const now = this.#options.clock.getTime();
        if (!this.#options.membership.isCurrent()) {
            return;
        }
        const bucket = this.#options.getBucket(now);
        let tokens = received + (bucket?.drain(now) ?? 0);
        while (tokens >= 1 && this.#waiting.length > 0) {
            tokens--;
            this.#waiting.shift()?.resolve({ time: now });
        }
        bucket?.add(tokens, now);
    }

    #getAdvanceTokens(): number {
        return Math.max(MIN_ADVANCE_TOKENS, this.#options.account.rate * ADVANCE_REFILL_MS / MS_PER_SECOND);
    }

    /** Refuses the requests that arrived before a pass. */
    #refuseWaiting(pass: number): void {
        const refused = this.#waiting.filter(request => request.pass < pass);
        this.#waiting = this.#waiting.filter(request => request.pass >= pass);
        for (const request of refused) {
            request.resolve(undefined);
        }
    }

    async #waitForNextRound(): Promise<void> {
        const { account, clock } = this.#options;
        const pauseMs = account.rate > 0 ? MS_PER_SECOND / account.rate : MAX_ROUND_PAUSE_MS;
        await clock.wait(Math.min(MAX_ROUND_PAUSE_MS, pauseMs));
    }
}
