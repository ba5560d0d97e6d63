import type { Member } from "../head/index.js";
import type { BorrowRoundOptions } from "./BorrowRoundOptions.js";
import type { RateGrant } from "./RateGrant.js";
import type { WaitingRequest } from "./WaitingRequest.js";

const MIN_ADVANCE = 1;
const ADVANCE_MS = 100;
const MS_PER_SECOND = 1_000;
const MAX_PAUSE_MS = 100;

/** Asks the other account hosts, one after the other, for tokens for all requests that wait. */
export class BorrowRound {
    readonly #options: BorrowRoundOptions;
    #waiting: WaitingRequest[] = [];
    #pass = 0;
    #hasEnded = false;

    /** @param options - What the round works with. */
    constructor(options: BorrowRoundOptions) {
        this.#options = options;
    }

    /** Waits for a token; undefined if the other hosts had too few. */
    waitForToken(): Promise<RateGrant | undefined> {
        if (this.#hasEnded) {
            return Promise.resolve(undefined);
        }
        return new Promise(resolve => this.#waiting.push({ pass: this.#pass, resolve }));
    }

    /** Runs the round; it ends after a pause when there were too few tokens, so that a flood asks seldom. */
    async run(): Promise<void> {
        await Promise.resolve();
        let isRefused: boolean;
        do {
            const arrived = await this.#runPass();
            isRefused = this.#waiting.length > 0;
            this.#refuseWaiting(arrived > 0 ? this.#pass : Infinity);
        }
        while (this.#waiting.length > 0);
        this.#hasEnded = true;
        if (isRefused) {
            await this.#waitBeforeNext();
        }
    }

    /** Asks each host once while requests wait; returns the tokens that arrived. */
    async #runPass(): Promise<number> {
        this.#pass++;
        let arrived = 0;
        for (const host of this.#options.lenders.getHosts(this.#options.account.name)) {
            arrived += await this.#borrowFrom(host);
            if (this.#waiting.length === 0) {
                break;
            }
        }
        return arrived;
    }

    async #borrowFrom(host: Member): Promise<number> {
        const now = this.#options.clock.getTime();
        const bucket = this.#options.getBucket(now);
        const held = bucket?.getTokens(now) ?? 0;
        const burst = bucket?.getShare().burst ?? 0;
        const needed = Math.max(0, this.#waiting.length - held);
        const minimum = needed > 0 && burst < 1 ? 1 : 0;
        const advance = Math.min(this.#getAdvance(), Math.max(0, burst - held));
        const { account, lenders } = this.#options;
        const result = await lenders.borrow(host, { account: account.name, minimum, needed, advance });
        if (result.tokens > 0) {
            this.#spend(result.tokens);
        }
        return result.tokens;
    }

    /** Spends arrived tokens for the requests that wait; only the rest enters the bucket. */
    #spend(arrived: number): void {
        const now = this.#options.clock.getTime();
        if (!this.#options.membership.isCurrent()) {
            return;
        }
        const bucket = this.#options.getBucket(now);
        let tokens = arrived + (bucket?.drain(now) ?? 0);
        while (tokens >= 1 && this.#waiting.length > 0) {
            tokens--;
            this.#waiting.shift()?.resolve({ time: now });
        }
        bucket?.add(tokens, now);
    }

    #getAdvance(): number {
        return Math.max(MIN_ADVANCE, this.#options.account.rate * ADVANCE_MS / MS_PER_SECOND);
    }

    /** Refuses the requests that came before a pass. */
    #refuseWaiting(pass: number): void {
        const refused = this.#waiting.filter(request => request.pass < pass);
        this.#waiting = this.#waiting.filter(request => request.pass >= pass);
        for (const request of refused) {
            request.resolve(undefined);
        }
    }

    async #waitBeforeNext(): Promise<void> {
        const { account, clock } = this.#options;
        const pauseMs = account.rate > 0 ? MS_PER_SECOND / account.rate : MAX_PAUSE_MS;
        await clock.wait(Math.min(MAX_PAUSE_MS, pauseMs));
    }
}
