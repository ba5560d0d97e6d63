import type { Clock } from "../../time/index.js";

const MS_PER_SECOND = 1_000;
/** Time in which a count falls to a third, in milliseconds. */
const DECAY_MS = 2_000;
/** Counts to which nothing was added for so long say nothing, in milliseconds. */
const MAX_AGE_MS = 5_000;
/** An account of whose requests more than this share is refused is above its rate. */
const MIN_LIMITED_SHARE = 0.25;

/** What an account has lately asked of its rate, as far as this host knows. */
export class AccountDemand {
    readonly #clock: Clock;
    #time: number;
    #asked = 0;
    #refused = 0;

    /** @param clock - The source of time. */
    constructor(clock: Clock) {
        this.#clock = clock;
        this.#time = clock.getTime();
    }

    /**
     * Records a request for a token.
     * @param isRefused - Whether there was none.
     */
    record(isRefused: boolean): void {
        const now = this.#clock.getTime();
        const decay = Math.exp((this.#time - now) / DECAY_MS);
        this.#time = now;
        this.#asked = this.#asked * decay + 1;
        this.#refused = this.#refused * decay + (isRefused ? 1 : 0);
    }

    /** Gets how many tokens are asked for, per second. */
    getRate(): number {
        const decay = Math.exp((this.#time - this.#clock.getTime()) / DECAY_MS);
        return this.#asked * decay * MS_PER_SECOND / DECAY_MS;
    }

    /** Whether the account is above its rate. Accounts within their rates are refused now and then, as their requests come irregularly. */
    isLimited(): boolean {
        const isKnown = this.#clock.getTime() - this.#time <= MAX_AGE_MS;
        return isKnown && this.#refused > MIN_LIMITED_SHARE * Math.max(1, this.#asked);
    }
}
