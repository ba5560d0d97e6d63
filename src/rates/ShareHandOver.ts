import type { Member, MembershipView } from "../head/index.js";
import { Decision } from "../logging/index.js";
import { PeerMethod } from "../peers/index.js";
import type { AccountBucket } from "./AccountBucket.js";
import type { BucketTable } from "./BucketTable.js";
import type { HandedOverShare } from "./HandedOverShare.js";
import type { HandOverRatesParams } from "./HandOverRatesParams.js";
import type { HandOverRatesResult } from "./HandOverRatesResult.js";
import { LOAN_MS } from "./LOAN_MS.js";
import type { RateLimiterOptions } from "./RateLimiterOptions.js";
import type { ReceivedShare } from "./ReceivedShare.js";

const SEND_TIMEOUT_MS = 1_000;
const MAX_TRIES = 4;
const RETRY_INTERVAL_MS = 250;
const SHARES_A_MESSAGE = 500;

/** Hands shares over at a planned stop, and takes over those of others; the giver stops first. */
export class ShareHandOver {
    readonly #options: RateLimiterOptions;
    readonly #buckets: BucketTable;
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
            await this.#sendPart(host, params);
        }
        const figures = { shares: shares.length };
        this.#options.decisionLog.record({ decision: Decision.HandedOver, reason: "rates", member: host.id, figures });
    }

    /** Repeats a part that was not taken: the receiver may learn of the view a little later. */
    async #sendPart(host: Member, params: HandOverRatesParams): Promise<void> {
        const { clock, transport } = this.#options;
        for (let count = 0; count < MAX_TRIES; count++) {
            const send = transport.send(host.peerAddress, PeerMethod.HandOverRates, params, SEND_TIMEOUT_MS);
            const result = await send.catch(() => undefined);
            if (result !== undefined && result.accepted > 0) {
                return;
            }
            await clock.wait(RETRY_INTERVAL_MS);
        }
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
        const extra = { burst: share.burst, memberId: params.memberId, isReplacement };
        return bucket.addReceivedShare(params.incarnation, extra, share.tokens, now);
    }

    /** Passes shares that end with a view on to the hosts that took the place of their holders. */
    #applyView(view: MembershipView, previous: MembershipView): void {
        const passedOn = new Map<Member, HandedOverShare[]>();
        const self = this.#options.membership.getSelf();
        for (const [account, bucket] of this.#buckets.getAll()) {
            const ended = this.#removeEnded(bucket, view);
            for (const { memberId, burst } of [{ memberId: self.id, burst: bucket.getOwnBurst() }, ...ended]) {
                const host = burst > 0 ? this.#findNewHost(account, memberId, view, previous) : undefined;
                if (host !== undefined && host.id !== self.id) {
                    passedOn.set(host, [...passedOn.get(host) ?? [], { account, burst, tokens: 0 }]);
                }
            }
        }
        for (const [host, shares] of passedOn) {
            void this.#send(host, self.id, `${self.incarnation}/${view.version}`, shares, view.version);
        }
    }

    /** Removes the extra shares of members that have left. */
    #removeEnded(bucket: AccountBucket, view: MembershipView): ReceivedShare[] {
        const ended: ReceivedShare[] = [];
        for (const [incarnation, extra] of [...bucket.getReceivedShares()]) {
            if (extra.isReplacement || !hasIncarnation(view, extra.memberId, incarnation)) {
                bucket.removeReceivedShare(incarnation, this.#options.clock.getTime());
                ended.push(...(extra.isReplacement ? [] : [extra]));
            }
        }
        return ended;
    }

    /** Finds the account host that took the place of one that no longer is one. */
    #findNewHost(
        account: string,
        memberId: string,
        view: MembershipView,
        previous: MembershipView,
    ): Member | undefined {
        const { membership } = this.#options;
        const former = membership.getAccountHosts(account, previous);
        const present = membership.getAccountHosts(account, view);
        const lost = former.filter(host => !hasMember(present, host));
        const added = present.filter(host => !hasMember(former, host));
        return added[lost.findIndex(host => host.id === memberId)];
    }
}

function hasMember(members: readonly Member[], member: Member): boolean {
    return members.some(other => other.id === member.id && other.incarnation === member.incarnation);
}

function hasIncarnation(view: MembershipView, memberId: string, incarnation: string): boolean {
    return view.members.some(member => member.id === memberId && member.incarnation === incarnation);
}
