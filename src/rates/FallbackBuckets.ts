import type { Membership } from "../membership/index.js";
import type { Clock } from "../time/index.js";
import { FALLBACK_FRACTION } from "./FALLBACK_FRACTION.js";
import { RateBasis } from "./RateBasis.js";
import { spendFromBucket } from "./spendFromBucket.js";
import type { SpendTokenParams } from "./SpendTokenParams.js";
import type { SpendTokenResult } from "./SpendTokenResult.js";
import { TokenBucket } from "./TokenBucket.js";

/** Smallest burst, in tokens, of a host that reaches no owner; with 1, the second of two requests in a row is refused. */
const MIN_BURST = 2;
/** A new bucket starts with the refill of this time, in milliseconds. */
const INITIAL_REFILL_MS = 500;
const MS_PER_SECOND = 1_000;

/** The rates that this host spends by itself while it reaches no owner of an account. */
export class FallbackBuckets {
    readonly #clock: Clock;
    readonly #membership: Membership;
    readonly #buckets = new Map<string, TokenBucket>();

    /**
     * @param clock - The source of time.
     * @param membership - The fleet, over whose hosts the rate is divided.
     */
    constructor(clock: Clock, membership: Membership) {
        this.#clock = clock;
        this.#membership = membership;
    }

    /**
     * Spends a token of this host's part of the account's rate.
     * @param params - The request for a token.
     */
    spend(params: SpendTokenParams): SpendTokenResult {
        if (params.rate === 0) {
            return { isSpent: true, waitMs: 0, retryAfterMs: 0, isQuarantined: false, basis: RateBasis.Whole };
        }
        const now = this.#clock.getTime();
        const hosts = Math.max(1, this.#membership.getView().members.length);
        const fraction = FALLBACK_FRACTION / hosts;
        const share = { rate: fraction * params.rate, burst: Math.max(MIN_BURST, fraction * params.burst) };
        const startTokens = Math.max(1, share.rate * INITIAL_REFILL_MS / MS_PER_SECOND);
        const bucket = this.#buckets.get(params.account) ?? new TokenBucket(share, startTokens, now);
        this.#buckets.set(params.account, bucket);
        bucket.applyShare(share, now);
        return spendFromBucket(bucket, now, params.maxWaitMs, RateBasis.Partial);
    }
}
