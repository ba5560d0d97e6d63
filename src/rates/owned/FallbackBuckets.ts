import type { Membership } from "../../membership/index.js";
import type { Clock } from "../../time/index.js";
import { getMixedHash, getTextHash } from "../../utils/index.js";
import { RateBasis } from "../RateBasis.js";
import { TokenBucket } from "../TokenBucket.js";
import { FALLBACK_FRACTION } from "./FALLBACK_FRACTION.js";
import { spendFromBucket } from "./spendFromBucket.js";
import type { SpendTokenParams } from "./SpendTokenParams.js";
import type { SpendTokenResult } from "./SpendTokenResult.js";

/**
 * Tokens of an account with which the buckets of all hosts together begin, beside their part of its burst. With a third of the hosts
 * cut off, these are half of the 20 requests by which platforms usually tolerate an excess.
 */
const START_TOKENS = 30;
/** Number of possible hash values. */
const HASH_COUNT = 2 ** 32;

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
        const share = { rate: fraction * params.rate, burst: Math.max(1, fraction * params.burst) };
        const known = this.#buckets.get(params.account);
        const bucket = known ?? new TokenBucket(share, this.#getStartTokens(params, hosts), now);
        this.#buckets.set(params.account, bucket);
        bucket.applyShare(share, now);
        return spendFromBucket(bucket, now, params.maxWaitMs, RateBasis.Partial);
    }

    /** A bucket begins with whole tokens, as fractions would refuse the first request at every host; few hosts begin with one in a large fleet. */
    #getStartTokens({ account, burst }: SpendTokenParams, hosts: number): number {
        const mean = (FALLBACK_FRACTION * burst + START_TOKENS) / hosts;
        const whole = Math.floor(mean);
        const { id } = this.#membership.getSelf();
        const position = getMixedHash(getTextHash(JSON.stringify([account, id]))) / HASH_COUNT;
        return whole + (position < mean - whole ? 1 : 0);
    }
}
