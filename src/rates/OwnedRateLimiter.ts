import type { Account } from "../configuration/index.js";
import type { Member } from "../head/index.js";
import { Decision } from "../logging/index.js";
import { PeerMethod, PeerSuspicion } from "../peers/index.js";
import type { AdmitOptions } from "./AdmitOptions.js";
import { RateBasis } from "./RateBasis.js";
import type { RateDecision } from "./RateDecision.js";
import type { RateGrant } from "./RateGrant.js";
import type { RateLimiter } from "./RateLimiter.js";
import type { RateLimiterOptions } from "./RateLimiterOptions.js";
import type { RateShare } from "./RateShare.js";
import type { SpendTokenParams } from "./SpendTokenParams.js";
import type { SpendTokenResult } from "./SpendTokenResult.js";
import { TokenBucket } from "./TokenBucket.js";

const MS_PER_SECOND = 1_000;
/** Timeout of a call to an owner; a call to another availability zone takes a few milliseconds. */
const SPEND_TIMEOUT_MS = 250;
/**
 * Fraction of its even share of the rate that a host which reaches no owner may spend. It is below 1 because these tokens come on
 * top of those that the owners grant to the hosts that reach them.
 */
const FALLBACK_FRACTION = 0.5;
/** Smallest burst, in tokens, of a host that reaches no owner; with 1, the second of two requests in a row is refused. */
const MIN_FALLBACK_BURST = 2;
/**
 * A new bucket starts with the refill of this time, in milliseconds. It does not start full because the previous owner may just have
 * spent the burst.
 */
const INITIAL_REFILL_MS = 500;
/** Most owners whose empty buckets are remembered, over all accounts. */
const MAX_EMPTY_OWNERS = 10_000;

/** An owner's refusal of a request. */
interface OwnerRefusal {
    readonly owner: Member;
    readonly result: SpendTokenResult;
}

/**
 * Divides each account's rate evenly over a few hosts, the account's owners, which keep its token buckets. Each request asks the
 * owners in turn until one has a token, so an owner that does not answer costs its share of the rate only. A new owner's bucket starts
 * almost empty. A host that reaches no owner, or is asked for a token without being an owner, spends at most half of its even share
 * of the rate, so a network partition does not multiply the rate.
 */
export class OwnedRateLimiter implements RateLimiter {
    readonly #options: RateLimiterOptions;
    readonly #ownerBuckets = new Map<string, TokenBucket>();
    readonly #fallbackBuckets = new Map<string, TokenBucket>();
    /** When this host created its bucket of an account as an owner, in milliseconds of the clock. */
    readonly #ownedSince = new Map<string, number>();
    /** When an owner with an empty bucket has a token again, in milliseconds of the clock, by account and owner. */
    readonly #emptyUntil = new Map<string, number>();
    readonly #suspicion: PeerSuspicion;
    #nextOwner = 0;

    /** @param options - Dependencies of the limiter. */
    constructor(options: RateLimiterOptions) {
        this.#options = options;
        this.#suspicion = new PeerSuspicion(options.clock);
        options.handlers.add(PeerMethod.SpendToken, params => this.#spendAsOwner(params));
    }

    /**
     * Spends a token from the bucket of one of the account's owners.
     * @param account - The account; a rate of 0 means no limit.
     * @param options - The request's fingerprint and how long it may wait for a token.
     */
    async admit(account: Account, options?: AdmitOptions): Promise<RateDecision> {
        const time = this.#options.clock.getTime();
        const { isSpent, waitMs, retryAfterMs, isQuarantined, basis } = await this.#spend(account, options);
        return isSpent
            ? { isAdmitted: true, grant: { time }, waitMs }
            : { isAdmitted: false, retryAfterMs, isQuarantined, basis };
    }

    /**
     * Gives back the token of a request that is known not to have run. On an owner it goes into that owner's bucket, whichever owner
     * spent it; on other hosts it is lost, which admits too few requests rather than too many.
     * @param account - The account.
     * @param grant - The grant of the token.
     */
    restore(account: Account, grant: RateGrant): void {
        this.#ownerBuckets.get(account.name)?.restore(grant.time, this.#options.clock.getTime());
    }

    /** Asks each owner for a token without a wait first, and only then waits at the owner that has one soonest. */
    async #spend(account: Account, options: AdmitOptions | undefined): Promise<SpendTokenResult> {
        const params = {
            account: account.name,
            rate: account.rate,
            burst: account.burst,
            fingerprint: options?.fingerprint,
            maxWaitMs: 0,
        };
        const owners = this.#getOwners(account.name);
        const refusals: OwnerRefusal[] = [];
        for (const owner of owners) {
            const result = await this.#spendAt(owner, params);
            if (result?.isSpent === true || result?.isQuarantined === true) {
                return result;
            }
            if (result !== undefined) {
                refusals.push({ owner, result });
            }
        }
        const soonest = findSoonest(refusals);
        if (soonest === undefined) {
            return this.#spendFallback({ ...params, maxWaitMs: options?.maxWaitMs ?? 0 });
        }
        const result = await this.#spendWithWait(soonest, params, options?.maxWaitMs ?? 0);
        return refusals.length < owners.length ? { ...result, basis: RateBasis.Partial } : result;
    }

    async #spendWithWait(
        { owner, result }: OwnerRefusal,
        params: SpendTokenParams,
        maxWaitMs: number,
    ): Promise<SpendTokenResult> {
        return result.retryAfterMs > maxWaitMs || maxWaitMs === 0
            ? result
            : await this.#spendAt(owner, { ...params, maxWaitMs }) ?? result;
    }

    /** Spends a token at an owner; returns undefined if the owner doesn't answer. */
    async #spendAt(owner: Member, params: SpendTokenParams): Promise<SpendTokenResult | undefined> {
        const { clock, membership, transport } = this.#options;
        if (owner.id === membership.getSelf().id) {
            return this.#spendAsOwner(params);
        }
        if (this.#isSuspected(owner)) {
            return undefined;
        }
        const key = `${params.account} ${owner.id}`;
        const emptyForMs = (this.#emptyUntil.get(key) ?? Number.NEGATIVE_INFINITY) - clock.getTime();
        if (emptyForMs > params.maxWaitMs) {
            return createEmptyResult(emptyForMs);
        }
        try {
            const result = await transport.send(
                owner.peerAddress,
                PeerMethod.SpendToken,
                params,
                SPEND_TIMEOUT_MS,
            );
            this.#suspicion.recordAnswer(owner.peerAddress);
            this.#recordEmpty(key, result);
            return result;
        }
        catch (error) {
            this.#suspicion.recordSilent(owner.peerAddress);
            this.#recordSilent(params.account, owner, error);
            return undefined;
        }
    }

    #recordEmpty(key: string, { isSpent, retryAfterMs }: SpendTokenResult): void {
        if (isSpent || retryAfterMs === 0) {
            this.#emptyUntil.delete(key);
            return;
        }
        if (this.#emptyUntil.size >= MAX_EMPTY_OWNERS) {
            this.#emptyUntil.clear();
        }
        this.#emptyUntil.set(key, this.#options.clock.getTime() + retryAfterMs);
    }

    #recordSilent(account: string, owner: Member, error: unknown): void {
        const figures = { error: error instanceof Error ? error.message : String(error) };
        this.#options.decisionLog.record({
            decision: Decision.DependencyChanged,
            reason: "rate-owner-silent",
            account,
            member: owner.id,
            figures,
        });
    }

    /** Gets the owners of an account, beginning with the one in this host's zone, or with each in turn if none is. */
    #getOwners(account: string): readonly Member[] {
        const { membership } = this.#options;
        const owners = membership.getAccountHosts(account);
        const sameZone = owners.findIndex(owner => owner.zone === membership.getSelf().zone);
        const first = sameZone < 0 ? this.#nextOwner++ % Math.max(1, owners.length) : sameZone;
        return [...owners.slice(first), ...owners.slice(0, first)];
    }

    #isSuspected(owner: Member): boolean {
        const { membership } = this.#options;
        return owner.id !== membership.getSelf().id &&
            (this.#suspicion.isSuspected(owner.peerAddress) || !membership.isReachable(owner.id));
    }

    #spendAsOwner(params: SpendTokenParams): SpendTokenResult {
        if (params.fingerprint !== undefined && this.#options.isQuarantined?.(params.fingerprint) === true) {
            return { isSpent: false, waitMs: 0, retryAfterMs: 0, isQuarantined: true, basis: RateBasis.Whole };
        }
        const { rate, burst } = this.#options.getConfiguration().getAccount(params.account) ?? params;
        const share = this.#findShare(params.account, { rate, burst });
        if (share === undefined) {
            return this.#spendFallback(params);
        }
        const result = this.#spendFrom(this.#ownerBuckets, params, share);
        return this.#isFilling(params.account, share) ? { ...result, basis: RateBasis.NewOwner } : result;
    }

    /**
     * Finds this host's share of an account's rate, with a burst in whole tokens. The rate is divided over the owners that this host
     * can reach; undefined if this host is not an owner or is isolated by a partition.
     */
    #findShare(account: string, { rate, burst }: RateShare): RateShare | undefined {
        const { membership } = this.#options;
        const self = membership.getSelf().id;
        const reachable = membership.getAccountHosts(account).filter(({ id }) =>
            id === self || membership.isReachable(id)
        );
        const index = reachable.findIndex(({ id }) => id === self);
        if (index < 0 || membership.isIsolated?.() === true) {
            return undefined;
        }
        return { rate: rate / reachable.length, burst: Math.floor((burst + index) / reachable.length) };
    }

    #spendFallback(params: SpendTokenParams): SpendTokenResult {
        const hosts = Math.max(1, this.#options.membership.getView().members.length);
        const fraction = FALLBACK_FRACTION / hosts;
        const burst = Math.max(MIN_FALLBACK_BURST, fraction * params.burst);
        const result = this.#spendFrom(this.#fallbackBuckets, params, { rate: fraction * params.rate, burst });
        return { ...result, basis: RateBasis.Partial };
    }

    /** Whether this host has been an owner of the account for less time than the burst takes to fill. */
    #isFilling(account: string, { rate, burst }: RateShare): boolean {
        const since = this.#ownedSince.get(account) ?? Number.NEGATIVE_INFINITY;
        return this.#options.clock.getTime() - since < burst / rate * MS_PER_SECOND;
    }

    #spendFrom(
        buckets: Map<string, TokenBucket>,
        params: SpendTokenParams,
        { rate, burst }: RateShare,
    ): SpendTokenResult {
        const defaults = { waitMs: 0, retryAfterMs: 0, isQuarantined: false, basis: RateBasis.Whole };
        if (rate === 0) {
            return { ...defaults, isSpent: true };
        }
        const now = this.#options.clock.getTime();
        const share = { rate, burst: Math.max(1, burst) };
        const startTokens = Math.max(1, rate * INITIAL_REFILL_MS / MS_PER_SECOND);
        const bucket = buckets.get(params.account) ?? new TokenBucket(share, startTokens, now);
        if (buckets === this.#ownerBuckets && !buckets.has(params.account)) {
            this.#ownedSince.set(params.account, now);
        }
        buckets.set(params.account, bucket);
        bucket.applyShare(share, now);
        const waitMs = bucket.spendAhead(now, params.maxWaitMs);
        return waitMs === undefined
            ? { ...defaults, isSpent: false, retryAfterMs: Math.ceil(bucket.getWaitMs(now)) }
            : { ...defaults, isSpent: true, waitMs };
    }
}

function createEmptyResult(retryAfterMs: number): SpendTokenResult {
    return {
        isSpent: false,
        waitMs: 0,
        retryAfterMs: Math.ceil(retryAfterMs),
        isQuarantined: false,
        basis: RateBasis.Whole,
    };
}

function findSoonest(refusals: readonly OwnerRefusal[]): OwnerRefusal | undefined {
    return [...refusals].sort((left, right) => left.result.retryAfterMs - right.result.retryAfterMs)[0];
}
