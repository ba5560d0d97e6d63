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
/** How long an owner may take to answer; a call to another availability zone takes a few milliseconds. */
const SPEND_TIMEOUT_MS = 250;
/**
 * Share of its even part of the rate that a host without an owner may spend: it comes on top of what the owners grant to
 * the hosts that reach them.
 */
const PART_SHARE = 0.5;
/** Tokens that a host without an owner may spend at once: without a second one, every other request of two is refused. */
const MIN_PART_BURST = 2;
/**
 * Refill that a new bucket starts with, in milliseconds. Its owner may have taken over from one that spent the burst a
 * moment ago, so it does not start full.
 */
const START_REFILL_MS = 500;
/** How many owners that were empty lately are remembered, over all accounts. */
const MAX_EMPTY_OWNERS = 10_000;

/** What an owner has answered. */
interface OwnerRefusal {
    readonly owner: Member;
    readonly result: SpendTokenResult;
}

/**
 * Shares each account's tokens evenly among a few hosts, the account's owners, and asks them for each request, the next one only
 * if the one before is empty or silent. A silent owner so costs its share and not the rate. When owners change, the next one starts
 * with little. A host that reaches no owner, and one that is asked although it is none, has only half of its own even part of the
 * rate, so that a partition does not multiply the rate.
 */
export class OwnedRateLimiter implements RateLimiter {
    readonly #options: RateLimiterOptions;
    readonly #owned = new Map<string, TokenBucket>();
    readonly #parts = new Map<string, TokenBucket>();
    /** When this host first spent for an account as its owner, in milliseconds of the clock. */
    readonly #ownedSince = new Map<string, number>();
    /** When an owner that was empty has a token again, in milliseconds of the clock, by account and owner. */
    readonly #emptyUntil = new Map<string, number>();
    readonly #suspicion: PeerSuspicion;
    #nextOwner = 0;

    /** @param options - What the limiter works with. */
    constructor(options: RateLimiterOptions) {
        this.#options = options;
        this.#suspicion = new PeerSuspicion(options.clock);
        options.handlers.add(PeerMethod.SpendToken, params => this.#spendOwned(params));
    }

    /**
     * Spends a token at one of the account's owners.
     * @param account - The account; a rate of 0 is no limit.
     * @param options - How long the request may wait for a token, and what tells it from others.
     */
    async admit(account: Account, options?: AdmitOptions): Promise<RateDecision> {
        const time = this.#options.clock.getTime();
        const { isSpent, waitMs, retryAfterMs, isQuarantined, basis } = await this.#spend(account, options);
        return isSpent
            ? { isAdmitted: true, grant: { time }, waitMs }
            : { isAdmitted: false, retryAfterMs, isQuarantined, basis };
    }

    /**
     * Gives back the token of a request that is known not to have run, if this host is one of the owners; its own share takes it,
     * whichever owner spent it. Elsewhere the token is lost, which errs towards too few.
     * @param account - The account.
     * @param grant - The token.
     */
    restore(account: Account, grant: RateGrant): void {
        this.#owned.get(account.name)?.restore(grant.time, this.#options.clock.getTime());
    }

    /** A token that is there is better than one that has to be waited for, so each owner is asked for one first. */
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
            return this.#spendPart({ ...params, maxWaitMs: options?.maxWaitMs ?? 0 });
        }
        const result = await this.#waitAt(soonest, params, options?.maxWaitMs ?? 0);
        return refusals.length < owners.length ? { ...result, basis: RateBasis.Partial } : result;
    }

    async #waitAt(
        { owner, result }: OwnerRefusal,
        params: SpendTokenParams,
        maxWaitMs: number,
    ): Promise<SpendTokenResult> {
        return result.retryAfterMs > maxWaitMs || maxWaitMs === 0
            ? result
            : await this.#spendAt(owner, { ...params, maxWaitMs }) ?? result;
    }

    /** Returns undefined if the owner doesn't answer. */
    async #spendAt(owner: Member, params: SpendTokenParams): Promise<SpendTokenResult | undefined> {
        const { clock, membership, transport } = this.#options;
        if (owner.id === membership.getSelf().id) {
            return this.#spendOwned(params);
        }
        if (this.#isSuspected(owner)) {
            return undefined;
        }
        const key = `${params.account} ${owner.id}`;
        const emptyMs = (this.#emptyUntil.get(key) ?? Number.NEGATIVE_INFINITY) - clock.getTime();
        if (emptyMs > params.maxWaitMs) {
            return createEmpty(emptyMs);
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

    /** Gets the owners of an account, the one in this host's zone first; where there is none, they take turns. */
    #getOwners(account: string): readonly Member[] {
        const { membership } = this.#options;
        const owners = membership.getAccountHosts(account);
        const near = owners.findIndex(owner => owner.zone === membership.getSelf().zone);
        const first = near < 0 ? this.#nextOwner++ % Math.max(1, owners.length) : near;
        return [...owners.slice(first), ...owners.slice(0, first)];
    }

    #isSuspected(owner: Member): boolean {
        const { membership } = this.#options;
        return owner.id !== membership.getSelf().id &&
            (this.#suspicion.isSuspected(owner.peerAddress) || !membership.isReachable(owner.id));
    }

    #spendOwned(params: SpendTokenParams): SpendTokenResult {
        if (params.fingerprint !== undefined && this.#options.isQuarantined?.(params.fingerprint) === true) {
            return { isSpent: false, waitMs: 0, retryAfterMs: 0, isQuarantined: true, basis: RateBasis.Whole };
        }
        const { rate, burst } = this.#options.getConfiguration().getAccount(params.account) ?? params;
        const share = this.#findShare(params.account, { rate, burst });
        if (share === undefined) {
            return this.#spendPart(params);
        }
        const result = this.#spendFrom(this.#owned, params, share);
        return this.#isFilling(params.account, share) ? { ...result, basis: RateBasis.NewOwner } : result;
    }

    /**
     * Finds what this host holds of an account's rate, in whole tokens of the burst, among the owners that may be alive; undefined if
     * it is none of them, or one that a partition has left alone.
     */
    #findShare(account: string, { rate, burst }: RateShare): RateShare | undefined {
        const { membership } = this.#options;
        const self = membership.getSelf().id;
        const alive = membership.getAccountHosts(account).filter(({ id }) => id === self || membership.isReachable(id));
        const index = alive.findIndex(({ id }) => id === self);
        if (index < 0 || membership.isIsolated?.() === true) {
            return undefined;
        }
        return { rate: rate / alive.length, burst: Math.floor((burst + index) / alive.length) };
    }

    #spendPart(params: SpendTokenParams): SpendTokenResult {
        const hosts = Math.max(1, this.#options.membership.getView().members.length);
        const part = PART_SHARE / hosts;
        const burst = Math.max(MIN_PART_BURST, part * params.burst);
        const result = this.#spendFrom(this.#parts, params, { rate: part * params.rate, burst });
        return { ...result, basis: RateBasis.Partial };
    }

    /** Whether this host has owned the account for less time than its burst takes to fill. */
    #isFilling(account: string, { rate, burst }: RateShare): boolean {
        const since = this.#ownedSince.get(account) ?? Number.NEGATIVE_INFINITY;
        return this.#options.clock.getTime() - since < burst / rate * MS_PER_SECOND;
    }

    #spendFrom(
        buckets: Map<string, TokenBucket>,
        params: SpendTokenParams,
        { rate, burst }: RateShare,
    ): SpendTokenResult {
        const base = { waitMs: 0, retryAfterMs: 0, isQuarantined: false, basis: RateBasis.Whole };
        if (rate === 0) {
            return { ...base, isSpent: true };
        }
        const now = this.#options.clock.getTime();
        const share = { rate, burst: Math.max(1, burst) };
        const startTokens = Math.max(1, rate * START_REFILL_MS / MS_PER_SECOND);
        const bucket = buckets.get(params.account) ?? new TokenBucket(share, startTokens, now);
        if (buckets === this.#owned && !buckets.has(params.account)) {
            this.#ownedSince.set(params.account, now);
        }
        buckets.set(params.account, bucket);
        bucket.applyShare(share, now);
        const waitMs = bucket.spendAhead(now, params.maxWaitMs);
        return waitMs === undefined
            ? { ...base, isSpent: false, retryAfterMs: Math.ceil(bucket.getWaitMs(now)) }
            : { ...base, isSpent: true, waitMs };
    }
}

function createEmpty(retryAfterMs: number): SpendTokenResult {
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
