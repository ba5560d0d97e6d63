import type { Membership } from "../../membership/index.js";
import type { Clock } from "../../time/index.js";
import { getMixedHash, getTextHash } from "../../utils/index.js";
import { RateBasis } from "../RateBasis.js";
import type { RateShare } from "../RateShare.js";
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
/**
 * An account that was refused for its rate within this time before a host lost its owners is above its rate, in milliseconds: it has the
 * whole of it elsewhere.
 */
const LIMITED_MS = 5_000;
/** Fraction of its even share that a host spends of such an account's rate. All owners may be among those that are cut off. */
const LIMITED_FRACTION = 0.2;
/** Until the owners know which hosts are cut off and leave them their part, in milliseconds. */
const DETECTION_MS = 2_500;
/** Number of possible hash values. */
const HASH_COUNT = 2 ** 32;

/** What this host spends of an account's rate by itself. */
interface Fallback {
    readonly bucket: TokenBucket;
    /** From when on the bucket fills, in milliseconds of the clock. */
    readonly fillTime: number;
    /** Fraction of this host's even share of the rate. */
    readonly fraction: number;
}

/** The rates that this host spends by itself while it reaches no owner of an account. */
export class FallbackBuckets {
    readonly #clock: Clock;
    readonly #membership: Membership;
    readonly #buckets = new Map<string, TokenBucket>();
    /** The accounts of which no owner answers now. */
    readonly #fallbacks = new Map<string, Fallback>();
    /** When an owner last refused a request of an account for its rate, in milliseconds of the clock. */
    readonly #refusalTimes = new Map<string, number>();

    /**
     * @param clock - The source of time.
     * @param membership - The fleet, over whose hosts the rate is divided.
     */
    constructor(clock: Clock, membership: Membership) {
        this.#clock = clock;
        this.#membership = membership;
    }

    /**
     * Records that an owner of an account has answered.
     * @param account - The account's name.
     * @param isRefused - Whether it had no token.
     */
    recordOwnerAnswer(account: string, isRefused: boolean): void {
        this.#fallbacks.delete(account);
        if (isRefused) {
            this.#refusalTimes.set(account, this.#clock.getTime());
        }
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
        const { bucket, fillTime, fraction } = this.#getFallback(params, hosts);
        if (now < fillTime) {
            const retryAfterMs = Math.ceil(fillTime - now);
            return { isSpent: false, waitMs: 0, retryAfterMs, isQuarantined: false, basis: RateBasis.Partial };
        }
        bucket.applyShare(createShare(params, fraction, hosts), now);
        return spendFromBucket(bucket, now, params.maxWaitMs, RateBasis.Partial);
    }

    #getFallback(params: SpendTokenParams, hosts: number): Fallback {
        const { account } = params;
        const known = this.#fallbacks.get(account);
        if (known !== undefined) {
            return known;
        }
        const now = this.#clock.getTime();
        const isLimited = now - (this.#refusalTimes.get(account) ?? Number.NEGATIVE_INFINITY) < LIMITED_MS;
        const fillTime = isLimited ? now + DETECTION_MS : now;
        const fraction = isLimited ? LIMITED_FRACTION : FALLBACK_FRACTION;
        const share = createShare(params, fraction, hosts);
        const bucket = isLimited
            ? new TokenBucket(share, 0, fillTime)
            : this.#buckets.get(account) ?? new TokenBucket(share, this.#getStartTokens(params, hosts), now);
        const fallback = { bucket, fillTime, fraction };
        this.#buckets.set(account, bucket);
        this.#fallbacks.set(account, fallback);
        return fallback;
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

function createShare({ rate, burst }: SpendTokenParams, fraction: number, hosts: number): RateShare {
    return { rate: fraction * rate / hosts, burst: Math.max(1, fraction * burst / hosts) };
}
