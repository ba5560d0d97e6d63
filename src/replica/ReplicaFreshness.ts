import type { Clock } from "../time/index.js";

/** The store counts as lost once the replica was last confirmed longer ago than this. */
const STORE_LOST_AGE_MS = 2_500;

/** When the replica was last confirmed to be current, directly by the store or through other hosts. */
export class ReplicaFreshness {
    readonly #clock: Clock;
    readonly #listeners: (() => void)[] = [];
    #confirmedTime = Number.NEGATIVE_INFINITY;
    #regainedTime = Number.NEGATIVE_INFINITY;

    /** @param clock - The source of time. */
    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /** Gets the time since the replica was last confirmed to be current, in milliseconds. */
    getAge(): number {
        return this.#clock.getTime() - this.#confirmedTime;
    }

    /** Gets when the replica was last confirmed to be current, in milliseconds of the clock; -Infinity if never. */
    getConfirmedTime(): number {
        return this.#confirmedTime;
    }

    /** Gets when contact with the store was last regained after a loss, in milliseconds of the clock; -Infinity if it was never lost. */
    getStoreRegainedTime(): number {
        return this.#regainedTime;
    }

    /** Whether the replica was confirmed recently enough that the store does not count as lost. */
    hasStoreContact(): boolean {
        return this.getAge() < STORE_LOST_AGE_MS;
    }

    /**
     * Adds a listener that runs after each new confirmation.
     * @param listener - What to run.
     */
    addListener(listener: () => void): void {
        this.#listeners.push(listener);
    }

    /**
     * Records that the replica held all of the store's items at a time.
     * @param time - The time in milliseconds of the clock.
     * @param regainedTime - When contact with the store was last regained, as reported by another host, in milliseconds of the clock;
     * the time of this call if left out. Used only if the store counted as lost here.
     */
    recordConfirmation(time: number, regainedTime?: number): void {
        const now = this.#clock.getTime();
        if (time <= this.#confirmedTime) {
            return;
        }
        if (!this.hasStoreContact() && now - time < STORE_LOST_AGE_MS) {
            this.#regainedTime = Math.max(this.#regainedTime, regainedTime ?? now);
        }
        this.#confirmedTime = time;
        this.#listeners.forEach(listener => listener());
    }
}
