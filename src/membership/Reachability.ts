import type { Clock } from "../time/index.js";
import type { ContactTimes } from "./ContactTimes.js";
import { getHeadMembers } from "./getHeadMembers.js";
import type { HeadTracker } from "./HeadTracker.js";

const REACHABLE_TIMEOUT_MS = 4_000;

/** Tracks which members have answered recently; a member new in the view starts as reachable. */
export class Reachability {
    readonly #clock: Clock;
    readonly #selfId: string;
    readonly #contactTimes: ContactTimes;
    readonly #memberSince = new Map<string, number>();

    /**
     * @param clock - The source of time.
     * @param selfId - This host's member id.
     * @param tracker - Holds the installed head.
     * @param contactTimes - Times of the last contact with each member.
     */
    constructor(clock: Clock, selfId: string, tracker: HeadTracker, contactTimes: ContactTimes) {
        this.#clock = clock;
        this.#selfId = selfId;
        this.#contactTimes = contactTimes;
        tracker.addListener(head => this.#recordMembers(getHeadMembers(head).map(member => member.id)));
    }

    /**
     * Whether a member has answered recently, either this host or another one.
     * @param memberId - The member's id.
     */
    isReachable(memberId: string): boolean {
        const memberSince = this.#memberSince.get(memberId);
        if (memberId === this.#selfId || memberSince === undefined) {
            return memberId === this.#selfId;
        }
        const lastContact = Math.max(memberSince, this.#contactTimes.getContactTime(memberId));
        return this.#clock.getTime() - lastContact <= REACHABLE_TIMEOUT_MS;
    }

    #recordMembers(memberIds: readonly string[]): void {
        const current = new Set(memberIds);
        this.#contactTimes.removeAllExcept(current);
        for (const memberId of [...this.#memberSince.keys()].filter(id => !current.has(id))) {
            this.#memberSince.delete(memberId);
        }
        for (const memberId of memberIds.filter(id => !this.#memberSince.has(id))) {
            this.#memberSince.set(memberId, this.#clock.getTime());
        }
    }
}
