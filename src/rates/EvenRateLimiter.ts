import type { Account } from "../configuration/index.js";
import type { RateDecision } from "./RateDecision.js";
import type { RateGrant } from "./RateGrant.js";
import type { RateLimiter } from "./RateLimiter.js";
import type { RateLimiterOptions } from "./RateLimiterOptions.js";
import { TokenBucket } from "./TokenBucket.js";

const MS_PER_SECOND = 1_000;

/** Divides each account's rate evenly over all hosts, without lending; a baseline for comparison. */
export class EvenRateLimiter implements RateLimiter {
    readonly #options: RateLimiterOptions;
    readonly #buckets = new Map<string, TokenBucket>();

    /** @param options - Dependencies of the limiter. */
    constructor(options: RateLimiterOptions) {
        this.#options = options;
    }

    /**
     * Spends a token of this host's even share.
     * @param account - The account.
     */
    admit(account: Account): Promise<RateDecision> {
        const now = this.#options.clock.getTime();
        const bucket = this.#getBucket(account, now);
        const retryAfterMs = Math.ceil(MS_PER_SECOND / Math.max(bucket.getShare().rate, 1));
        return Promise.resolve(
            bucket.spend(now) ? { isAdmitted: true, grant: { time: now } } : { isAdmitted: false, retryAfterMs },
        );
    }

    /**
     * Gives back the token of a request that is known not to have run.
     * @param account - The account.
     * @param grant - The grant of the token.
     */
    restore(account: Account, grant: RateGrant): void {
        const now = this.#options.clock.getTime();
        this.#getBucket(account, now).restore(grant.time, now);
    }

    #getBucket(account: Account, now: number): TokenBucket {
        const count = Math.max(1, this.#options.membership.getView().members.length);
        const share = { burst: Math.max(1, account.burst / count), rate: account.rate / count };
        const bucket = this.#buckets.get(account.name) ?? new TokenBucket(share, share.burst, now);
        this.#buckets.set(account.name, bucket);
        bucket.applyShare(share, now);
        return bucket;
    }
}
