import type { Head } from "../head/index.js";
import type { Clock } from "../time/index.js";
import type { Evidence } from "./Evidence.js";
import { FRESHNESS_BOUND_MS } from "./FRESHNESS_BOUND_MS.js";
import { hasQuorum } from "./hasQuorum.js";
import type { HeadTracker } from "./HeadTracker.js";
import type { Member } from "./Member.js";
import type { StoppedMembers } from "./StoppedMembers.js";

/** Decides whether this host may serve by its head, and whether it may vouch for it to others. */
export class Freshness {
    readonly #clock: Clock;
    readonly #selfId: string;
    readonly #tracker: HeadTracker;
    readonly #evidence: Evidence;
    readonly #stopped: StoppedMembers;
    readonly #startTime: number;
    #currentUntil = -Infinity;
    #vouches = false;

    /**
     * @param clock - The source of time.
     * @param selfId - This host's member id.
     * @param tracker - Holds the head.
     * @param evidence - What this host has heard.
     * @param stopped - The members known to have stopped.
     */
    constructor(clock: Clock, selfId: string, tracker: HeadTracker, evidence: Evidence, stopped: StoppedMembers) {
        this.#clock = clock;
        this.#selfId = selfId;
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
        return this.#vouches;
    }

    #isCaughtUp(): boolean {
        const head = this.#tracker.getHead();
        if (head === undefined) {
            return false;
        }
        if (this.#evidence.getStoreTime() >= this.#startTime) {
            return true;
        }
        const threshold = this.#startTime + FRESHNESS_BOUND_MS;
        return this.#hasQuorum(
            head,
            member => member.id !== this.#selfId && this.#evidence.getConfirmedTime(member.id) > threshold,
        );
    }

    #getCurrentUntil(now: number): number {
        const head = this.#tracker.getHead();
        if (head === undefined) {
            return -Infinity;
        }
        const storeUntil = this.#evidence.getStoreTime() + FRESHNESS_BOUND_MS;
        return storeUntil >= now ? storeUntil : this.#getMajorityUntil(head, now);
    }

    /** Finds the latest time up to which a majority is enough; the bound is checked in whole steps of the evidence. */
    #getMajorityUntil(head: Head, now: number): number {
        const getTime = (member: Member): number =>
            member.id === this.#selfId && this.hasVote() ? now : this.#evidence.getConfirmedTime(member.id);
        const isFresh = (member: Member): boolean => getTime(member) + FRESHNESS_BOUND_MS >= now;
        if (!this.#hasQuorum(head, isFresh)) {
            return -Infinity;
        }
        const times = [...new Set(head.view.members.concat(head.nextView?.members ?? []).filter(isFresh).map(getTime))];
        times.sort((left, right) => left - right);
        return this.#findLatest(times, time => this.#hasQuorum(head, member => getTime(member) >= time)) +
            FRESHNESS_BOUND_MS;
    }

    #findLatest(times: readonly number[], isEnough: (time: number) => boolean): number {
        let low = 0;
        let high = times.length - 1;
        while (low < high) {
            const middle = Math.ceil((low + high) / 2);
            if (isEnough(times[middle]!)) {
                low = middle;
            }
            else {
                high = middle - 1;
            }
        }
        return times[low]!;
    }

    #hasQuorum(head: Head, isMet: (member: Member) => boolean): boolean {
        const isStopped = (memberId: string): boolean => this.#stopped.isStopped(memberId);
        return hasQuorum(head.view, isStopped, isMet) &&
            (head.nextView === undefined || hasQuorum(head.nextView, isStopped, isMet));
    }
}
