import type { Clock } from "../time/index.js";

/** A copy older than this has lost touch with the store. */
const LOST_AGE_MS = 2_500;

/** When a copy of the store is known to have been current. */
export class ReplicaFreshness {
    readonly #clock: Clock;
    readonly #listeners: (() => void)[] = [];
    #confirmedTime = Number.NEGATIVE_INFINITY;
    #regainedTime = Number.NEGATIVE_INFINITY;

    /** @param clock - The source of time. */
    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /** Gets how long ago the copy is known to have been current, in milliseconds. */
    getAge(): number {
        return this.#clock.getTime() - this.#confirmedTime;
    }

    /** Gets when the copy is known to have been current, in milliseconds of the clock; -Infinity if it never was. */
    getConfirmedTime(): number {
        return this.#confirmedTime;
    }

    /** Gets when touch with the store was regained last, in milliseconds of the clock; -Infinity if it was never lost. */
    getStoreRegainedTime(): number {
        return this.#regainedTime;
    }

    /** Whether the copy has been current lately. */
    hasStoreContact(): boolean {
        return this.getAge() < LOST_AGE_MS;
    }

    /**
     * Adds a listener that runs when the copy is confirmed anew.
     * @param listener - What to run.
     */
    addListener(listener: () => void): void {
        this.#listeners.push(listener);
    }

    /**
     * Records that the copy held everything that the store had at a time.
     * @param time - In milliseconds of the clock.
     * @param regainedTime - When touch with the store was regained last, if another host has told; else this one finds out by itself.
     */
    recordConfirmation(time: number, regainedTime?: number): void {
        const now = this.#clock.getTime();
        if (time <= this.#confirmedTime) {
            return;
        }
        if (!this.hasStoreContact() && now - time < LOST_AGE_MS) {
            this.#regainedTime = Math.max(this.#regainedTime, regainedTime ?? now);
        }
        this.#confirmedTime = time;
        this.#listeners.forEach(listener => listener());
    }
}
