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
/** Tokens that a host without an owner may spend at once: without a second one, every other request of two is refused. */
const MIN_PART_BURST = 2;
/**
 * Refill that a new bucket starts with, in milliseconds. Its owner may have taken over from one that spent the burst a
 * moment ago, so it does not start full.
 */
const START_REFILL_MS = 500;

/**
 * Keeps each account's tokens at one host, the account's owner, and asks it for each request. When owners change, the
 * next one starts with little. A host that reaches no owner, and one that is asked although a better owner may be alive,
 * has only its own even part of the rate, so that a partition does not multiply the rate.
 */
export class OwnedRateLimiter implements RateLimiter {
    readonly #options: RateLimiterOptions;
    readonly #owned = new Map<string, TokenBucket>();
    readonly #parts = new Map<string, TokenBucket>();
    /** When this host first spent for an account as its owner, in milliseconds of the clock. */
    readonly #ownedSince = new Map<string, number>();
    readonly #suspicion: PeerSuspicion;

    /** @param options - What the limiter works with. */
    constructor(options: RateLimiterOptions) {
        this.#options = options;
        this.#suspicion = new PeerSuspicion(options.clock);
        options.handlers.add(PeerMethod.SpendToken, params => this.#spendOwned(params));
    }

    /**
     * Spends a token at the account's owner.
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
     * Gives back the token of a request that is known not to have run, if this host is the owner. Elsewhere the token is
     * lost, which errs towards too few.
     * @param account - The account.
     * @param grant - The token.
     */
    restore(account: Account, grant: RateGrant): void {
        this.#owned.get(account.name)?.restore(grant.time, this.#options.clock.getTime());
    }

    async #spend(account: Account, options: AdmitOptions | undefined): Promise<SpendTokenResult> {
        const { membership, transport } = this.#options;
        const params = {
            account: account.name,
            rate: account.rate,
            burst: account.burst,
            fingerprint: options?.fingerprint,
            maxWaitMs: options?.maxWaitMs ?? 0,
        };
        for (const owner of this.#getOwners(account.name)) {
            if (owner.id === membership.getSelf().id) {
                return this.#spendOwned(params);
            }
            try {
                const result = await transport.send(
                    owner.peerAddress,
                    PeerMethod.SpendToken,
                    params,
                    SPEND_TIMEOUT_MS,
                );
                this.#suspicion.recordAnswer(owner.peerAddress);
                return result;
            }
            catch (error) {
                this.#suspicion.recordSilent(owner.peerAddress);
                this.#recordSilent(account.name, owner, error);
            }
        }
        return this.#spendPart(params);
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

    #getOwners(account: string): readonly Member[] {
        return this.#options.membership.getAccountHosts(account).filter(owner => !this.#isSuspected(owner));
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
        if (!this.#isOwner(params.account)) {
            return this.#spendPart(params);
        }
        const { rate, burst } = this.#options.getConfiguration().getAccount(params.account) ?? params;
        const result = this.#spendFrom(this.#owned, params, { rate, burst });
        return this.#isFilling(params.account, { rate, burst }) ? { ...result, basis: RateBasis.NewOwner } : result;
    }

    /** Whether this host is the first owner that may be alive, and not one that a partition has left alone. */
    #isOwner(account: string): boolean {
        const { membership } = this.#options;
        const first = membership.getAccountHosts(account).find(owner =>
            owner.id === membership.getSelf().id || membership.isReachable(owner.id)
        );
        return first?.id === membership.getSelf().id && membership.isIsolated?.() !== true;
    }

    #spendPart(params: SpendTokenParams): SpendTokenResult {
        const hosts = Math.max(1, this.#options.membership.getView().members.length);
        const burst = Math.max(MIN_PART_BURST, params.burst / hosts);
        const result = this.#spendFrom(this.#parts, params, { rate: params.rate / hosts, burst });
        return { ...result, basis: RateBasis.Part };
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
            ? { ...base, isSpent: false, retryAfterMs: Math.ceil(bucket.getWait(now)) }
            : { ...base, isSpent: true, waitMs };
    }
}
