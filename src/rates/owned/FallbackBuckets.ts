import type { Membership } from "../../membership/index.js";
import type { Clock } from "../../time/index.js";
import { getMixedHash, getTextHash } from "../../utils/index.js";
import { RateBasis } from "../RateBasis.js";
import type { RateShare } from "../RateShare.js";
import { TokenBucket } from "../TokenBucket.js";
import { AccountDemand } from "./AccountDemand.js";
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
 * Fraction of its even share that a host spends for an account above its rate if all owners are reported silent. The host is on the larger
 * side of a partition then, and the owners may grant the whole rate on the smaller one.
 */
const LIMITED_FRACTION = 0.2;
/** Until the owners know which hosts are cut off and leave them their part, in milliseconds. */
const DETECTION_MS = 2_500;
/** Number of possible hash values. */
const HASH_COUNT = 2 ** 32;

/** What this host spends of an account's rate by itself. */
interface Fallback {
    readonly bucket: TokenBucket;
    /** When this host lost the owners; all times are in milliseconds of the clock. */
    readonly startTime: number;
    /** From when on the bucket fills and is spent from. */
    readonly fillTime: number;
}

/** The rates that this host spends by itself while it reaches no owner of an account. */
export class FallbackBuckets {
    readonly #clock: Clock;
    readonly #membership: Membership;
    readonly #buckets = new Map<string, TokenBucket>();
    /** The accounts of which no owner answers now. */
    readonly #fallbacks = new Map<string, Fallback>();
    /** Which accounts were lately above their rates. */
    readonly #demands = new Map<string, AccountDemand>();

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
        this.#getDemand(account).record(isRefused);
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
        const { bucket, fillTime, startTime } = this.#getFallback(params, hosts);
        if (now < fillTime) {
            const retryAfterMs = Math.ceil(fillTime - now);
            return { isSpent: false, waitMs: 0, retryAfterMs, isQuarantined: false, basis: RateBasis.Partial };
        }
        const isDetected = now - startTime > DETECTION_MS;
        bucket.applyShare(createShare(params, this.#getFraction(params.account, isDetected), hosts), now);
        const result = spendFromBucket(bucket, now, params.maxWaitMs, RateBasis.Partial);
        this.#getDemand(params.account).record(!result.isSpent);
        return result;
    }

    /** An account within its rate spends no more than that, however much of it this host grants. */
    #getFraction(account: string, isDetected: boolean): number {
        if (this.#getDemand(account).isLimited()) {
            return this.#hasOnlySilentOwners(account) ? LIMITED_FRACTION : FALLBACK_FRACTION;
        }
        return isDetected ? 1 : FALLBACK_FRACTION;
    }

    #getDemand(account: string): AccountDemand {
        const share = this.#demands.get(account) ?? new AccountDemand(this.#clock);
        this.#demands.set(account, share);
        return share;
    }

    #getFallback(params: SpendTokenParams, hosts: number): Fallback {
        const { account } = params;
        const known = this.#fallbacks.get(account);
        if (known !== undefined) {
            return known;
        }
        const now = this.#clock.getTime();
        const isLimited = this.#getDemand(account).isLimited();
        const fillTime = isLimited ? now + DETECTION_MS : now;
        const share = createShare(params, FALLBACK_FRACTION, hosts);
        const bucket = isLimited
            ? new TokenBucket(share, 0, fillTime)
            : this.#buckets.get(account) ?? new TokenBucket(share, this.#getStartTokens(params, hosts), now);
        const fallback = { bucket, startTime: now, fillTime };
        this.#buckets.set(account, bucket);
        this.#fallbacks.set(account, fallback);
        return fallback;
    }

    #hasOnlySilentOwners(account: string): boolean {
        return this.#membership.getAccountHosts(account).every(({ id }) => !this.#membership.isReachable(id));
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
