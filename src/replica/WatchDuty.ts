import type { Clock } from "../time/index.js";

/** How many hosts watch the store while all is well; the loss of one delays nothing. */
const WATCHERS = 2;
/** How old the copy may grow before the next host in order watches too; a watcher passes something on every second. */
const FIRST_AGE_MS = 1_150;
/** Delay from one host in order to the next, while no watcher is heard. */
const SILENT_STEP_MS = 100;
/** Delay from one host in order to the next, while a watcher is heard that can't reach the store. */
const HEARD_STEP_MS = 300;
/** How long a host that has stepped in goes on watching. */
const TERM_MS = 5_000;
/** A watcher that was heard within this span is alive. */
const HEARD_SPAN_MS = 2_200;

/** Decides whether this host watches the store itself or relies on others. */
export class WatchDuty {
    readonly #clock: Clock;
    #termEnd = Number.NEGATIVE_INFINITY;
    #heardTime = Number.NEGATIVE_INFINITY;

    /** @param clock - The source of time. */
    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /** Records that another host has passed changes on. */
    recordHeard(): void {
        this.#heardTime = this.#clock.getTime();
    }

    /**
     * Whether this host watches now.
     * @param rank - Its place in the order of the hosts, from 0.
     * @param ageMs - How long ago the copy is known to have been current, in milliseconds.
     */
    isWatching(rank: number, ageMs: number): boolean {
        const now = this.#clock.getTime();
        if (rank >= WATCHERS && now >= this.#termEnd && ageMs > this.#getAgeLimit(rank, now)) {
            this.#termEnd = now + TERM_MS;
        }
        return rank < WATCHERS || now < this.#termEnd;
    }

    #getAgeLimit(rank: number, now: number): number {
        const isHeard = now - this.#heardTime < HEARD_SPAN_MS;
        return FIRST_AGE_MS + (rank - WATCHERS) * (isHeard ? HEARD_STEP_MS : SILENT_STEP_MS);
    }
}
