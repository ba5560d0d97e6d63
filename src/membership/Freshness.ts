import type { Head, Member, MembershipView } from "../head/index.js";
import type { Clock } from "../time/index.js";
import type { ContactTimes } from "./ContactTimes.js";
import { FRESHNESS_BOUND_MS } from "./FRESHNESS_BOUND_MS.js";
import { getQuorumTime } from "./getQuorumTime.js";
import type { HeadTracker } from "./HeadTracker.js";
import type { StoppedMembers } from "./StoppedMembers.js";

/** Decides whether this host may serve by its head, and whether it may vouch for it to others. */
export class Freshness {
    readonly #clock: Clock;
    readonly #self: Member;
    readonly #tracker: HeadTracker;
    readonly #evidence: ContactTimes;
    readonly #stopped: StoppedMembers;
    readonly #startTime: number;
    #currentUntil = -Infinity;
    #vouches = false;

    /**
     * @param clock - The source of time.
     * @param self - This host's own entry.
     * @param tracker - Holds the head.
     * @param evidence - What this host has heard.
     * @param stopped - The members known to have stopped.
     */
    constructor(clock: Clock, self: Member, tracker: HeadTracker, evidence: ContactTimes, stopped: StoppedMembers) {
        this.#clock = clock;
        this.#self = self;
        this.#tracker = tracker;
        this.#evidence = evidence;
        this.#stopped = stopped;
        this.#startTime = clock.getTime();
        tracker.addListener(() => this.#currentUntil = -Infinity);
    }

    /** Whether the store or a majority of the members is known to have had no newer head within the bound. */
    isCurrent(): boolean {
        const now = this.#clock.getTime();
        if (now > this.#currentUntil) {
            this.#currentUntil = this.#getCurrentUntil(now);
        }
        return now <= this.#currentUntil;
    }

    /**
     * Whether this host's word counts for its member entry. A restarted process might have lost a head that its
     * predecessor had installed, so it first has to hear the store, or a majority of the others at a time when no
     * earlier answer of its predecessor is counted any more.
     */
    hasVote(): boolean {
        this.#vouches ||= this.#isCaughtUp();
        return this.#vouches && !this.#isOtherAddress();
    }

    /** Gets how long ago a majority is known to have had no newer head, in milliseconds; Infinity if never. */
    getMajorityAge(): number {
        const head = this.#tracker.getHead();
        const now = this.#clock.getTime();
        return head === undefined ? Infinity : now - this.#getMajorityTime(head, now);
    }

    /** Whether the entry with this host's id belongs to another address, whose host may still run. */
    #isOtherAddress(): boolean {
        const head = this.#tracker.getHead();
        const entries = head === undefined ? [] : [head.view, head.nextView].map(view => this.#findEntry(view));
        return entries.some(entry => entry !== undefined && entry.peerAddress !== this.#self.peerAddress);
    }

    #findEntry(view: MembershipView | undefined): Member | undefined {
        return view?.members.find(member => member.id === this.#self.id);
    }

    #isCaughtUp(): boolean {
        const head = this.#tracker.getHead();
        if (head === undefined) {
            return false;
        }
        if (this.#evidence.getStoreConfirmationTime() >= this.#startTime) {
            return true;
        }
        const getOtherTime = (member: Member): number =>
            member.id === this.#self.id ? -Infinity : this.#evidence.getHeadConfirmationTime(member.id);
        return this.#getHeadTime(head, getOtherTime) > this.#startTime + FRESHNESS_BOUND_MS;
    }

    #getCurrentUntil(now: number): number {
        const head = this.#tracker.getHead();
        if (head === undefined) {
            return -Infinity;
        }
        const storeUntil = this.#evidence.getStoreConfirmationTime() + FRESHNESS_BOUND_MS;
        return storeUntil >= now ? storeUntil : this.#getMajorityTime(head, now) + FRESHNESS_BOUND_MS;
    }

    #getMajorityTime(head: Head, now: number): number {
        const hasVote = this.hasVote();
        return this.#getHeadTime(
            head,
            member => member.id === this.#self.id && hasVote ? now : this.#evidence.getHeadConfirmationTime(member.id),
        );
    }

    /** While a view is proposed, its members count as well as those of the view in force. */
    #getHeadTime(head: Head, getTime: (member: Member) => number): number {
        const isStopped = (memberId: string): boolean => this.#stopped.isStopped(memberId);
        const views = head.nextView === undefined ? [head.view] : [head.view, head.nextView];
        return Math.min(...views.map(view => getQuorumTime(view, isStopped, getTime)));
    }
}
