import type { Head, Member, MembershipView } from "../head/index.js";
import type { Clock } from "../time/index.js";
import type { ContactTimes } from "./ContactTimes.js";
import { FRESHNESS_BOUND_MS } from "./FRESHNESS_BOUND_MS.js";
import { getQuorumTime } from "./getQuorumTime.js";
import type { HeadTracker } from "./HeadTracker.js";
import type { StoppedMembers } from "./StoppedMembers.js";

/** Decides whether this host may serve with its installed head, and whether it counts towards a majority. */
export class Freshness {
    readonly #clock: Clock;
    readonly #self: Member;
    readonly #tracker: HeadTracker;
    readonly #contactTimes: ContactTimes;
    readonly #stopped: StoppedMembers;
    readonly #startTime: number;
    #currentUntil = -Infinity;
    #wasCaughtUp = false;

    /**
     * @param clock - The source of time.
     * @param self - This host's own entry.
     * @param tracker - Holds the installed head.
     * @param contactTimes - Times of the last confirmations by members and store.
     * @param stopped - Detects members whose hosts have stopped.
     */
    constructor(clock: Clock, self: Member, tracker: HeadTracker, contactTimes: ContactTimes, stopped: StoppedMembers) {
        this.#clock = clock;
        this.#self = self;
        this.#tracker = tracker;
        this.#contactTimes = contactTimes;
        this.#stopped = stopped;
        this.#startTime = clock.getTime();
        tracker.addListener(() => this.#currentUntil = -Infinity);
    }

    /** Whether the store or a majority of the members had no newer head within the last FRESHNESS_BOUND_MS. */
    isCurrent(): boolean {
        const now = this.#clock.getTime();
        if (now > this.#currentUntil) {
            this.#currentUntil = this.#getCurrentUntil(now);
        }
        return now <= this.#currentUntil;
    }

    /**
     * Whether this host counts towards a majority. A restarted process may have lost a head that its predecessor had
     * installed. It therefore first needs a confirmation by the store, or by a majority of the other members more than
     * the freshness bound after its start, when earlier answers of its predecessor no longer count.
     */
    hasVote(): boolean {
        this.#wasCaughtUp ||= this.#isCaughtUp();
        return this.#wasCaughtUp && !this.#hasEntryOfOtherAddress();
    }

    /** Gets the time since a majority was last known to have had no newer head, in milliseconds; Infinity if never. */
    getMajorityAge(): number {
        const head = this.#tracker.getHead();
        const now = this.#clock.getTime();
        return head === undefined ? Infinity : now - this.#getMajorityTime(head, now);
    }

    /** Whether an entry with this host's id has another address, whose host may still be running. */
    #hasEntryOfOtherAddress(): boolean {
        const head = this.#tracker.getHead();
        const entries = head === undefined ? [] : [head.view, head.nextView].map(view => this.#findOwnEntry(view));
        return entries.some(entry => entry !== undefined && entry.peerAddress !== this.#self.peerAddress);
    }

    #findOwnEntry(view: MembershipView | undefined): Member | undefined {
        return view?.members.find(member => member.id === this.#self.id);
    }

    #isCaughtUp(): boolean {
        const head = this.#tracker.getHead();
        if (head === undefined) {
            return false;
        }
        if (this.#contactTimes.getStoreConfirmationTime() >= this.#startTime) {
            return true;
        }
        const getPeerConfirmationTime = (member: Member): number =>
            member.id === this.#self.id ? -Infinity : this.#contactTimes.getHeadConfirmationTime(member.id);
        return this.#getHeadQuorumTime(head, getPeerConfirmationTime) > this.#startTime + FRESHNESS_BOUND_MS;
    }

    #getCurrentUntil(now: number): number {
        const head = this.#tracker.getHead();
        if (head === undefined) {
            return -Infinity;
        }
        const storeConfirmedUntil = this.#contactTimes.getStoreConfirmationTime() + FRESHNESS_BOUND_MS;
        return storeConfirmedUntil >= now
            ? storeConfirmedUntil
            : this.#getMajorityTime(head, now) + FRESHNESS_BOUND_MS;
    }

    #getMajorityTime(head: Head, now: number): number {
        const hasVote = this.hasVote();
        return this.#getHeadQuorumTime(
            head,
            member =>
                member.id === this.#self.id && hasVote ? now : this.#contactTimes.getHeadConfirmationTime(member.id),
        );
    }

    /** Gets the latest time that quorums of both the active view and the proposed one, if any, have reached. */
    #getHeadQuorumTime(head: Head, getTime: (member: Member) => number): number {
        const isStopped = (memberId: string): boolean => this.#stopped.isStopped(memberId);
        const views = head.nextView === undefined ? [head.view] : [head.view, head.nextView];
        return Math.min(...views.map(view => getQuorumTime(view, isStopped, getTime)));
    }
}
