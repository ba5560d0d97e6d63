import type { Member } from "../../head/index.js";
import { Decision } from "../../logging/index.js";
import { PeerMethod } from "../../peers/index.js";
import { RateBasis } from "../RateBasis.js";
import type { RateLimiterOptions } from "../RateLimiterOptions.js";
import type { RateShare } from "../RateShare.js";
import { TokenBucket } from "../TokenBucket.js";
import { AccountDemand } from "./AccountDemand.js";
import { FALLBACK_FRACTION } from "./FALLBACK_FRACTION.js";
import type { OwnedBucket } from "./OwnedBucket.js";
import { OwnerContacts } from "./OwnerContacts.js";
import type { ReachableHosts } from "./ReachableHosts.js";
import { spendFromBucket } from "./spendFromBucket.js";
import type { SpendTokenParams } from "./SpendTokenParams.js";
import type { SpendTokenResult } from "./SpendTokenResult.js";

const MS_PER_SECOND = 1_000;
/** Timeout of a hand-over, in milliseconds; a lost one loses tokens and never adds any. */
const HAND_OVER_TIMEOUT_MS = 500;
/**
 * Part of the rate by which the owners and the hosts that reach no owner may exceed it together, so that the loss of a few hosts,
 * which looks like a partition, costs an account nothing. It is half of the tenth by which platforms usually tolerate an excess.
 */
const TOLERATED_EXCESS = 0.05;
/**
 * An owner with a smaller share, in requests per second, grants it without being in touch with the other owners: twice granted, it stays
 * within half of the 20 requests by which platforms usually tolerate an excess.
 */
const MIN_CHECKED_RATE = 2;
/**
 * An owner that is asked for less than this part of its share grants it without being in touch with the other owners: a third of it is a tenth of
 * the rate, as much as platforms usually tolerate.
 */
const MIN_CHECKED_USE = 0.3;

/** This host's share of an account's rate. */
interface OwnedShare extends RateShare {
    /** Whether it stands for the hosts on a smaller side of a partition only. */
    readonly isPartial: boolean;
}

/**
 * This host as one of the owners of accounts' rates. Each owner holds a share in a token bucket. A host that ceases to be an owner
 * gives its tokens to the new one and keeps no bucket, so no token is granted twice; an owner that reaches only a minority of the
 * fleet grants no more than these hosts might spend by themselves, as the owners on the other side share the whole rate.
 */
export class RateOwner {
    readonly #options: RateLimiterOptions;
    readonly #hosts: ReachableHosts;
    readonly #contacts: OwnerContacts;
    readonly #buckets = new Map<string, OwnedBucket>();
    /** When the view of the fleet last changed, in milliseconds of the clock; an owner in it has held its share at least since then. */
    #viewTime: number;

    /**
     * @param options - Dependencies of the limiter.
     * @param hosts - The hosts that this one reaches.
     */
    constructor(options: RateLimiterOptions, hosts: ReachableHosts) {
        this.#options = options;
        this.#hosts = hosts;
        this.#contacts = new OwnerContacts(options);
        this.#viewTime = options.clock.getTime();
        options.membership.addViewListener(() => this.#applyView());
        options.handlers.add(PeerMethod.HandOverTokens, ({ tokens }) => {
            tokens.forEach(item => this.#receive(item.account, item.tokens));
            return { isReceived: true };
        });
    }

    /**
     * Spends a token of this host's share; undefined if the host holds no share of the account's rate now.
     * @param params - The request for a token.
     */
    spend(params: SpendTokenParams): SpendTokenResult | undefined {
        const { rate, burst } = this.#options.getConfiguration().getAccount(params.account) ?? params;
        const share = this.#findShare(params.account, { rate, burst });
        if (share === undefined) {
            return undefined;
        }
        if (rate === 0) {
            return { isSpent: true, waitMs: 0, retryAfterMs: 0, isQuarantined: false, basis: RateBasis.Whole };
        }
        const owned = this.#getBucket(params.account, share);
        const now = this.#options.clock.getTime();
        owned.bucket.applyShare(share, now);
        const result = spendFromBucket(owned.bucket, now, params.maxWaitMs, getBasis(share, now - owned.since));
        owned.demand.record(!result.isSpent);
        return result;
    }

    /**
     * Gives back a token of a request that has not run; lost if this host is no owner of the account.
     * @param account - The account's name.
     * @param spentTime - When the token was spent, in milliseconds of the clock.
     */
    restore(account: string, spentTime: number): void {
        this.#buckets.get(account)?.bucket.restore(spentTime, this.#options.clock.getTime());
    }

    /** Finds this host's share, with a burst in whole tokens; undefined if it has none. */
    #findShare(account: string, limit: RateShare): OwnedShare | undefined {
        const { membership } = this.#options;
        const owners = membership.getAccountHosts(account);
        if (!owners.some(({ id }) => id === membership.getSelf().id)) {
            return undefined;
        }
        const demand = this.#buckets.get(account)?.demand;
        if (demand !== undefined && owners.length > 2 && this.#isCheckNeeded(limit.rate / owners.length, demand)) {
            return this.#findCheckedShare(owners, limit, demand.isLimited());
        }
        if (!this.#hosts.hasMajority()) {
            this.#closeShare(account);
            return undefined;
        }
        const reachable = owners.filter(owner => this.#isSelf(owner) || membership.isReachable(owner.id));
        return this.#createShare(limit, reachable, this.#getOwnersFraction(), false);
    }

    /** Whether the owners have to check each other: hosts may be cut off, and a share granted twice would exceed what platforms tolerate. */
    #isCheckNeeded(rate: number, demand: AccountDemand): boolean {
        const mayBeCut = this.#options.hasPeerFailure?.() !== false || this.#hosts.getUnreachableRateShare() > 0;
        return mayBeCut && rate >= MIN_CHECKED_RATE && demand.getRate() >= MIN_CHECKED_USE * rate;
    }

    /**
     * Finds this host's share of a rate whose owners check each other. One that is out of touch with another and does not reach the majority
     * of the fleet, which is on one side of a partition only, spends for the hosts that it reaches, no more than they might by themselves.
     */
    #findCheckedShare(owners: readonly Member[], limit: RateShare, isLimited: boolean): OwnedShare {
        const others = owners.filter(owner => !this.#isSelf(owner));
        this.#contacts.watch(others);
        const isMajorityReported = this.#hosts.hasMajority();
        if (!isMajorityReported || others.some(owner => this.#contacts.isDoubtful(owner))) {
            this.#contacts.watchFleet();
        }
        const areInTouch = others.every(owner => this.#contacts.isInTouch(owner));
        if (isMajorityReported && (areInTouch || this.#contacts.hasMajority())) {
            const active = owners.filter(owner => this.#isSelf(owner) || !this.#contacts.isLost(owner, others));
            return this.#createShare(limit, active, this.#getOwnersFraction(), false);
        }
        const inTouch = owners.filter(owner => this.#isSelf(owner) || this.#contacts.isInTouch(owner));
        const fraction = isLimited ? FALLBACK_FRACTION : 1;
        return this.#createShare(limit, inTouch, fraction * this.#contacts.getAnsweringShare(), true);
    }

    /** Gets the part of a rate that the owners divide: without what the hosts out of reach may spend by themselves. */
    #getOwnersFraction(): number {
        return Math.min(1, 1 + TOLERATED_EXCESS - this.#hosts.getUnreachableRateShare());
    }

    #createShare(limit: RateShare, owners: readonly Member[], fraction: number, isPartial: boolean): OwnedShare {
        const index = owners.findIndex(owner => this.#isSelf(owner));
        const burst = isPartial ? fraction * limit.burst : limit.burst;
        return {
            rate: fraction * limit.rate / owners.length,
            burst: Math.max(1, Math.floor((burst + index) / owners.length)),
            isPartial,
        };
    }

    #isSelf({ id }: Member): boolean {
        return id === this.#options.membership.getSelf().id;
    }

    #getBucket(account: string, share: OwnedShare): OwnedBucket {
        const existing = this.#buckets.get(account);
        if (existing !== undefined) {
            return existing;
        }
        const now = this.#options.clock.getTime();
        // The share has been unused since the view changed, whether or not this host has a bucket for it.
        const since = this.#viewTime;
        const bucket = new TokenBucket(share, share.rate * (now - since) / MS_PER_SECOND, now);
        const created = this.#createOwned(account, bucket, since);
        this.#buckets.set(account, created);
        return created;
    }

    /**
     * Empties the share of an account, which the owners on the other side of a partition spend now, and those that nothing was spent from
     * yet. A debt stays, as it was spent here.
     */
    #closeShare(account: string): void {
        const now = this.#options.clock.getTime();
        const owned = this.#buckets.get(account);
        if (owned !== undefined) {
            owned.bucket.drain(now);
            owned.bucket.applyShare({ ...owned.bucket.getShare(), rate: 0 }, now);
            owned.since = now;
        }
        this.#viewTime = now;
    }

    #createOwned(account: string, bucket: TokenBucket, since: number): OwnedBucket {
        const demand = new AccountDemand(this.#options.clock);
        return { bucket, since, owners: this.#getOwnerIds(account), demand };
    }

    #getOwnerIds(account: string): ReadonlySet<string> {
        return new Set(this.#options.membership.getAccountHosts(account).map(({ id }) => id));
    }

    #applyView(): void {
        const { clock, membership } = this.#options;
        this.#viewTime = clock.getTime();
        const self = membership.getSelf().id;
        const tokensByHost = new Map<Member, { account: string; tokens: number; }[]>();
        for (const [account, { bucket, owners: former }] of [...this.#buckets]) {
            const owners = membership.getAccountHosts(account);
            if (owners.some(({ id }) => id === self)) {
                this.#buckets.get(account)!.owners = new Set(owners.map(({ id }) => id));
                continue;
            }
            this.#buckets.delete(account);
            const successor = owners.find(({ id }) => !former.has(id)) ?? owners[0];
            const tokens = bucket.drain(clock.getTime());
            if (successor !== undefined && tokens >= 1) {
                tokensByHost.set(successor, [...tokensByHost.get(successor) ?? [], { account, tokens }]);
            }
        }
        tokensByHost.forEach((tokens, host) => void this.#sendTokens(host, tokens));
    }

    async #sendTokens(host: Member, tokens: readonly { account: string; tokens: number; }[]): Promise<void> {
        const { decisionLog, transport } = this.#options;
        const figures = {
            accounts: tokens.length,
            tokens: Math.floor(tokens.reduce((sum, each) => sum + each.tokens, 0)),
        };
        try {
            await transport.send(host.peerAddress, PeerMethod.HandOverTokens, { tokens }, HAND_OVER_TIMEOUT_MS);
            decisionLog.record({ decision: Decision.HandedOver, reason: "rates", member: host.id, figures });
        }
        catch (error) {
            const detail = error instanceof Error ? error.message : String(error);
            const reason = "rates-not-handed-over";
            decisionLog.record({ decision: Decision.DependencyChanged, reason, member: host.id, figures, detail });
        }
    }

    /** Adds tokens that the former owner has given up; its message may come before or after the view that makes this host an owner. */
    #receive(account: string, tokens: number): void {
        const configured = this.#options.getConfiguration().getAccount(account);
        if (configured === undefined || configured.rate === 0 || !(tokens > 0)) {
            return;
        }
        const now = this.#options.clock.getTime();
        const owners = this.#options.membership.getAccountHosts(account);
        const count = Math.max(1, owners.length);
        const share = { rate: configured.rate / count, burst: Math.max(1, Math.floor(configured.burst / count)) };
        const owned = this.#buckets.get(account) ?? this.#createOwned(account, new TokenBucket(share, 0, now), now);
        this.#buckets.set(account, owned);
        owned.bucket.add(tokens, now);
    }
}

function getBasis({ rate, burst, isPartial }: OwnedShare, filledMs: number): RateBasis {
    if (isPartial) {
        return RateBasis.Partial;
    }
    return filledMs < burst / rate * MS_PER_SECOND ? RateBasis.NewOwner : RateBasis.Whole;
}
