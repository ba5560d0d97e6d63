import type { Account } from "../configuration/index.js";
import { PeerMethod } from "../peers/index.js";
import type { AccountBucket } from "./AccountBucket.js";
import { BorrowRound } from "./BorrowRound.js";
import type { BorrowTokensParams } from "./BorrowTokensParams.js";
import type { BorrowTokensResult } from "./BorrowTokensResult.js";
import { BucketTable } from "./BucketTable.js";
import { LOAN_MS } from "./LOAN_MS.js";
import type { RateDecision } from "./RateDecision.js";
import type { RateGrant } from "./RateGrant.js";
import type { RateLimiter } from "./RateLimiter.js";
import type { RateLimiterOptions } from "./RateLimiterOptions.js";
import type { ReceiveTokensParams } from "./ReceiveTokensParams.js";
import type { ReceiveTokensResult } from "./ReceiveTokensResult.js";
import { ShareHandOver } from "./ShareHandOver.js";
import { TokenLenders } from "./TokenLenders.js";

const MS_PER_SECOND = 1_000;
const ADVANCE_SHARE = 0.5;
/** After this time without a request of its own a host gives all that it has. */
const UNUSED_MS = 1_000;

/** Keeps accounts within their rate by shares on the account hosts, which lend each other tokens. */
export class SharedRateLimiter implements RateLimiter {
    readonly #options: RateLimiterOptions;
    readonly #buckets: BucketTable;
    readonly #lenders: TokenLenders;
    readonly #handOver: ShareHandOver;
    #nextLoan = 1;
    readonly #rounds = new Map<string, BorrowRound>();

    /** @param options - What the limiter works with. */
    constructor(options: RateLimiterOptions) {
        this.#options = options;
        this.#buckets = new BucketTable(options);
        this.#lenders = new TokenLenders(options);
        this.#handOver = new ShareHandOver(options, this.#buckets);
        options.handlers.add(PeerMethod.BorrowTokens, params => this.#lend(params));
        options.handlers.add(PeerMethod.ReceiveTokens, params => this.#removeLoan(params));
    }

    /**
     * Spends a token of the account, asking other account hosts for one if this host's bucket is empty.
     * @param account - The account.
     */
    async admit(account: Account): Promise<RateDecision> {
        const now = this.#options.clock.getTime();
        if (!this.#options.membership.isCurrent()) {
            return { isAdmitted: false, retryAfterMs: MS_PER_SECOND };
        }
        const bucket = this.#buckets.get(account, now);
        if (!this.#handOver.hasStopped() && bucket.apply(account, now).spend(now)) {
            this.#borrowInAdvance(account, bucket, now);
            return { isAdmitted: true, grant: { time: now } };
        }
        const grant = await this.#waitForLoan(account, bucket);
        return grant === undefined
            ? { isAdmitted: false, retryAfterMs: getRetryAfter(account) }
            : { isAdmitted: true, grant };
    }

    /**
     * Gives back the token of a request that is known not to have run.
     * @param account - The account.
     * @param grant - The token.
     */
    restore(account: Account, grant: RateGrant): void {
        const now = this.#options.clock.getTime();
        if (!this.#handOver.hasStopped()) {
            this.#buckets.get(account, now).apply(account, now).restore(grant.time, now);
        }
    }

    /** Hands this host's shares over to other account hosts; afterwards it only borrows. */
    async drain(): Promise<void> {
        await this.#handOver.drain();
    }

    /** Gets how many buckets are in memory. */
    getBucketCount(): number {
        return this.#buckets.getSize();
    }

    async #waitForLoan(account: Account, bucket: AccountBucket): Promise<RateGrant | undefined> {
        const round = this.#rounds.get(account.name) ?? this.#startRound(account, bucket);
        return await round.waitForToken();
    }

    #startRound(account: Account, bucket: AccountBucket): BorrowRound {
        const round = new BorrowRound({
            clock: this.#options.clock,
            membership: this.#options.membership,
            lenders: this.#lenders,
            account,
            getBucket: time => this.#handOver.hasStopped() ? undefined : bucket.apply(account, time),
        });
        this.#rounds.set(account.name, round);
        round.run().catch(() => {}).finally(() => this.#rounds.delete(account.name));
        return round;
    }

    #borrowInAdvance(account: Account, bucket: AccountBucket, now: number): void {
        const tokens = bucket.apply(account, now);
        const isLow = tokens.getTokens(now) < tokens.getShare().burst * ADVANCE_SHARE;
        if (isLow && this.#lenders.isAdvanceDue(account.name) && !this.#rounds.has(account.name)) {
            this.#startRound(account, bucket);
        }
    }

    #lend(params: BorrowTokensParams): BorrowTokensResult {
        const account = this.#options.getConfiguration().getAccount(params.account);
        if (account === undefined || !this.#options.membership.isCurrent() || this.#handOver.hasStopped()) {
            return { tokens: 0, loanId: 0, isReceiptWanted: false };
        }
        const now = this.#options.clock.getTime();
        const bucket = this.#buckets.get(account, now).apply(account, now);
        const isUnused = now - bucket.getLastSpendTime() > UNUSED_MS;
        const spare = Math.max(0, bucket.getTokens(now) - params.needed) * (isUnused ? 1 : ADVANCE_SHARE);
        const maximum = params.needed + Math.min(params.advance, spare);
        const loan = bucket.lend({ id: this.#nextLoan++, minimum: params.minimum, maximum, end: now + LOAN_MS }, now);
        return { tokens: loan.tokens, loanId: loan.id, isReceiptWanted: bucket.isRefillBlocked(LOAN_MS) };
    }

    #removeLoan(params: ReceiveTokensParams): ReceiveTokensResult {
        const bucket = this.#buckets.find(params.account);
        const now = this.#options.clock.getTime();
        return { isRemoved: bucket?.apply(bucket.getAccount(), now).removeLoan(params.loanId, now) ?? false };
    }
}

function getRetryAfter(account: Account): number {
    return account.rate > 0 ? Math.ceil(MS_PER_SECOND / account.rate) : MS_PER_SECOND;
}
