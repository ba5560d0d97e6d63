import type { Account } from "../../configuration/index.js";
import type { Member } from "../../head/index.js";
import { Decision } from "../../logging/index.js";
import { PeerMethod, PeerSuspicion } from "../../peers/index.js";
import type { AdmitOptions } from "../AdmitOptions.js";
import { RateBasis } from "../RateBasis.js";
import type { RateDecision } from "../RateDecision.js";
import type { RateGrant } from "../RateGrant.js";
import type { RateLimiter } from "../RateLimiter.js";
import type { RateLimiterOptions } from "../RateLimiterOptions.js";
import { FallbackBuckets } from "./FallbackBuckets.js";
import { RateOwner } from "./RateOwner.js";
import { ReachableHosts } from "./ReachableHosts.js";
import type { SpendTokenParams } from "./SpendTokenParams.js";
import type { SpendTokenResult } from "./SpendTokenResult.js";

/** Timeout of a call to an owner; a call to another availability zone takes a few milliseconds. */
const SPEND_TIMEOUT_MS = 250;
/** Most owners whose empty buckets are remembered, over all accounts. */
const MAX_EMPTY_OWNERS = 10_000;

/** An owner's refusal of a request. */
interface OwnerRefusal {
    readonly owner: Member;
    readonly result: SpendTokenResult;
}

/**
 * Divides each account's rate evenly over a few hosts, the account's owners, which keep its token buckets. Each request asks the
 * owners in turn until one has a token, so an owner that does not answer costs its share of the rate only. A host that reaches no
 * owner spends a part of the rate by itself, which the owners leave to the hosts out of their reach, so a network partition does not
 * multiply the rate.
 */
export class OwnedRateLimiter implements RateLimiter {
    readonly #options: RateLimiterOptions;
    readonly #owner: RateOwner;
    readonly #fallback: FallbackBuckets;
    /** When an owner with an empty bucket has a token again, in milliseconds of the clock, by account and owner. */
    readonly #emptyUntil = new Map<string, number>();
    readonly #suspicion: PeerSuspicion;
    #nextOwner = 0;

    /** @param options - Dependencies of the limiter. */
    constructor(options: RateLimiterOptions) {
        this.#options = options;
        const { clock, membership } = options;
        this.#suspicion = new PeerSuspicion(clock);
        this.#owner = new RateOwner(options, new ReachableHosts(clock, membership));
        this.#fallback = new FallbackBuckets(clock, membership);
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
        this.#owner.restore(account.name, grant.time);
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
                this.#fallback.recordOwnerAnswer(account.name, false);
                return result;
            }
            if (result !== undefined) {
                refusals.push({ owner, result });
            }
        }
        const soonest = findSoonest(refusals);
        if (soonest === undefined) {
            return this.#fallback.spend({ ...params, maxWaitMs: options?.maxWaitMs ?? 0 });
        }
        this.#fallback.recordOwnerAnswer(account.name, true);
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
            return getOwnerAnswer(this.#spendAsOwner(params));
        }
        if (this.#isSuspected(owner)) {
            return undefined;
        }
        const key = JSON.stringify([params.account, owner.id]);
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
            return getOwnerAnswer(result);
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
        return this.#owner.spend(params) ?? { ...createEmptyResult(0), basis: RateBasis.Partial, isOwner: false };
    }
}

/** A host that holds no share of the rate answers nothing about it. */
function getOwnerAnswer(result: SpendTokenResult): SpendTokenResult | undefined {
    return result.isOwner === false ? undefined : result;
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
