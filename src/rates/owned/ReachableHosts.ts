import type { Membership } from "../../membership/index.js";
import type { Clock } from "../../time/index.js";
import { FALLBACK_FRACTION } from "./FALLBACK_FRACTION.js";

/** How long a count of the reachable hosts is used, in milliseconds; silent hosts are detected within seconds. */
const COUNT_LIFETIME_MS = 100;

/** Counts which part of the fleet this host reaches. */
export class ReachableHosts {
    readonly #clock: Clock;
    readonly #membership: Membership;
    #time = Number.NEGATIVE_INFINITY;
    #reachable = 1;
    #total = 1;

    /**
     * @param clock - The source of time.
     * @param membership - The membership view and who answers.
     */
    constructor(clock: Clock, membership: Membership) {
        this.#clock = clock;
        this.#membership = membership;
    }

    /** Whether this host reaches more than half of the fleet, itself included; the hosts on the other side of a partition don't. */
    hasMajority(): boolean {
        this.#measure();
        return this.#membership.isIsolated?.() !== true && 2 * this.#reachable > this.#total;
    }

    /** Gets the part of each account's rate that the hosts out of reach may spend by themselves, if they are alive but cut off. */
    getUnreachableRateShare(): number {
        this.#measure();
        return FALLBACK_FRACTION * (this.#total - this.#reachable) / this.#total;
    }

    #measure(): void {
        const now = this.#clock.getTime();
        if (now - this.#time < COUNT_LIFETIME_MS) {
            return;
        }
        this.#time = now;
        const self = this.#membership.getSelf().id;
        const { members } = this.#membership.getView();
        this.#total = Math.max(1, members.length);
        this.#reachable = Math.max(
            1,
            members.filter(({ id }) => id === self || this.#membership.isReachable(id)).length,
        );
    }
}
