import { Decision } from "../logging/index.js";
import type { Member, MembershipView } from "../membership/index.js";
import { PeerMethod } from "../peers/index.js";
import type { AccountBucket } from "./AccountBucket.js";
import type { BucketTable } from "./BucketTable.js";
import type { HandedOverShare } from "./HandedOverShare.js";
import type { HandOverRatesParams } from "./HandOverRatesParams.js";
import type { HandOverRatesResult } from "./HandOverRatesResult.js";
import { LOAN_MS } from "./LOAN_MS.js";
import type { RateLimiterOptions } from "./RateLimiterOptions.js";

const SEND_TIMEOUT_MS = 1_000;
const SHARES_A_MESSAGE = 500;

/** Hands shares over at a planned stop, and takes over those of others; the giver stops first. */
export class ShareHandOver {
    readonly #options: RateLimiterOptions;
    readonly #buckets: BucketTable;
    readonly #receivers = new Set<AccountBucket>();
    #hasStopped = false;

    /**
     * @param options - Clock, membership, transport and handlers.
     * @param buckets - This host's buckets.
     */
    constructor(options: RateLimiterOptions, buckets: BucketTable) {
        this.#options = options;
        this.#buckets = buckets;
        options.handlers.add(PeerMethod.HandOverRates, params => this.#receive(params));
        options.membership.addViewListener((view, previous) => this.#applyView(view, previous));
    }

    /** Whether this host has given up its shares. */
    hasStopped(): boolean {
        return this.#hasStopped;
    }

    /** Gives up all shares and hands them over. */
    async drain(): Promise<void> {
        if (this.#hasStopped) {
            return;
        }
        this.#hasStopped = true;
        const shares = this.#drainBuckets();
        await this.#options.clock.wait(LOAN_MS);
        const self = this.#options.membership.getSelf();
        const groups = this.#getGroups(shares);
        await Promise.all([...groups].map(([host, group]) => this.#send(host, self.id, self.incarnation, group)));
    }

    #drainBuckets(): HandedOverShare[] {
        const now = this.#options.clock.getTime();
        const shares: HandedOverShare[] = [];
        for (const [account, accountBucket] of this.#buckets.getAll()) {
            const bucket = accountBucket.apply(accountBucket.getAccount(), now);
            const burst = accountBucket.getOwnBurst();
            const tokens = Math.min(burst, bucket.drain(now));
            if (burst > 0) {
                shares.push({ account, burst, tokens });
            }
        }
        return shares;
    }

    #getGroups(shares: readonly HandedOverShare[]): Map<Member, HandedOverShare[]> {
        const { membership } = this.#options;
        const groups = new Map<Member, HandedOverShare[]>();
        for (const share of shares) {
            const hosts = membership.getAccountHosts(share.account);
            const receiver = hosts.find(host => host.id !== membership.getSelf().id && membership.isReachable(host.id));
            if (receiver !== undefined) {
                groups.set(receiver, [...groups.get(receiver) ?? [], share]);
            }
        }
        return groups;
    }

    async #send(
        host: Member,
        memberId: string,
        incarnation: string,
        shares: readonly HandedOverShare[],
        viewVersion?: number,
    ): Promise<void> {
        for (let start = 0; start < shares.length; start += SHARES_A_MESSAGE) {
            const part = shares.slice(start, start + SHARES_A_MESSAGE);
            const params = { memberId, incarnation, viewVersion, shares: part };
            const send = this.#options.transport.send(
                host.peerAddress,
                PeerMethod.HandOverRates,
                params,
                SEND_TIMEOUT_MS,
            );
            await send.catch(() => undefined);
        }
        const figures = { shares: shares.length };
        this.#options.decisionLog.record({ decision: Decision.HandedOver, reason: "rates", member: host.id, figures });
    }

    #receive(params: HandOverRatesParams): HandOverRatesResult {
        const view = this.#options.membership.getView();
        const isReplacement = params.viewVersion !== undefined;
        const isGiverPresent = hasIncarnation(view, params.memberId, params.incarnation);
        const isValid = isReplacement ? view.version === params.viewVersion : isGiverPresent;
        if (!isValid || this.#hasStopped) {
            return { accepted: 0 };
        }
        return { accepted: params.shares.filter(share => this.#addShare(share, params, isReplacement)).length };
    }

    #addShare(share: HandedOverShare, params: HandOverRatesParams, isReplacement: boolean): boolean {
        const account = this.#options.getConfiguration().getAccount(share.account);
        if (account === undefined) {
            return false;
        }
        const now = this.#options.clock.getTime();
        const bucket = this.#buckets.get(account, now);
        this.#receivers.add(bucket);
        const extra = { burst: share.burst, memberId: params.memberId, isReplacement };
        return bucket.addExtra(params.incarnation, extra, share.tokens, now);
    }

    /** Gives up the shares of members that have left, and passes them on to the hosts that took their place. */
    #applyView(view: MembershipView, previous: MembershipView): void {
        const now = this.#options.clock.getTime();
        const passedOn = new Map<Member, HandedOverShare[]>();
        for (const bucket of this.#receivers) {
            for (const [incarnation, extra] of [...bucket.getExtras()]) {
                if (!extra.isReplacement && hasIncarnation(view, extra.memberId, incarnation)) {
                    continue;
                }
                bucket.removeExtra(incarnation, now);
                const { name } = bucket.getAccount();
                const host = extra.isReplacement ? undefined : this.#findNewHost(name, view, previous);
                if (host !== undefined) {
                    const share = { account: name, burst: extra.burst, tokens: 0 };
                    passedOn.set(host, [...passedOn.get(host) ?? [], share]);
                }
            }
            if (bucket.getExtras().size === 0) {
                this.#receivers.delete(bucket);
            }
        }
        for (const [host, shares] of passedOn) {
            const self = this.#options.membership.getSelf();
            void this.#send(host, self.id, `${self.incarnation}/${view.version}`, shares, view.version);
        }
    }

    #findNewHost(account: string, view: MembershipView, previous: MembershipView): Member | undefined {
        const { membership } = this.#options;
        const former = membership.getAccountHosts(account, previous);
        const isNew = (host: Member): boolean =>
            !former.some(other => other.id === host.id && other.incarnation === host.incarnation);
        return membership.getAccountHosts(account, view).find(isNew);
    }
}

function hasIncarnation(view: MembershipView, memberId: string, incarnation: string): boolean {
    return view.members.some(member => member.id === memberId && member.incarnation === incarnation);
}
