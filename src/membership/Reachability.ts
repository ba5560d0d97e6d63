import type { Clock } from "../time/index.js";
import type { ContactTimes } from "./ContactTimes.js";
import { getHeadMembers } from "./getHeadMembers.js";
import type { HeadTracker } from "./HeadTracker.js";

const REACHABLE_MS = 4_000;

/** Tells whether members have answered lately; a member new in the view counts as reachable at first. */
export class Reachability {
    readonly #clock: Clock;
    readonly #selfId: string;
    readonly #evidence: ContactTimes;
    readonly #knownSince = new Map<string, number>();

    /**
     * @param clock - The source of time.
     * @param selfId - This host's member id.
     * @param tracker - Holds the head.
     * @param evidence - Tells when a member was heard.
     */
    constructor(clock: Clock, selfId: string, tracker: HeadTracker, evidence: ContactTimes) {
        this.#clock = clock;
        this.#selfId = selfId;
        this.#evidence = evidence;
        tracker.addListener(head => this.#recordMembers(getHeadMembers(head).map(member => member.id)));
    }

    /**
     * Whether a member has answered lately, this host or another one.
     * @param memberId - The member's id.
     */
    isReachable(memberId: string): boolean {
        const knownSince = this.#knownSince.get(memberId);
        if (memberId === this.#selfId || knownSince === undefined) {
            return memberId === this.#selfId;
        }
        const heard = Math.max(knownSince, this.#evidence.getContactTime(memberId));
        return this.#clock.getTime() - heard <= REACHABLE_MS;
    }

    #recordMembers(memberIds: readonly string[]): void {
        const known = new Set(memberIds);
        this.#evidence.removeAllExcept(known);
        for (const memberId of [...this.#knownSince.keys()].filter(id => !known.has(id))) {
            this.#knownSince.delete(memberId);
        }
        for (const memberId of memberIds.filter(id => !this.#knownSince.has(id))) {
            this.#knownSince.set(memberId, this.#clock.getTime());
        }
    }
}
