import type { Clock } from "../../time/index.js";

/** Time constant of the decay, in milliseconds: some dozens of requests to a small pool. */
const DECAY_MS = 2_000;
/** Less urgent priorities count as this one. */
const LOWEST_PRIORITY = 15;

/** Recent slot time by priority, which decays exponentially. */
export class PriorityWork {
    readonly #clock: Clock;
    readonly #work = new Float64Array(LOWEST_PRIORITY + 1);
    #total = 0;
    #time: number;

    /** @param clock - The source of time. */
    constructor(clock: Clock) {
        this.#clock = clock;
        this.#time = clock.getTime();
    }

    /**
     * Adds slot time.
     * @param priority - The priority, 0 the highest.
     * @param slotTimeMs - The slot time, in milliseconds.
     */
    add(priority: number, slotTimeMs: number): void {
        this.#applyDecay();
        const index = getIndex(priority);
        this.#work[index] = this.#work[index]! + slotTimeMs;
        this.#total += slotTimeMs;
    }

    /**
     * Gets the recent slot time of a priority, in milliseconds.
     * @param priority - The priority, 0 the highest.
     */
    get(priority: number): number {
        this.#applyDecay();
        return this.#work[getIndex(priority)]!;
    }

    /** Gets the recent slot time of all priorities, in milliseconds. */
    getTotal(): number {
        this.#applyDecay();
        return this.#total;
    }

    /**
     * Gets the slots that the recent slot time of more urgent priorities keeps in use.
     * @param priority - The priority, 0 the highest.
     */
    getSlotsAbove(priority: number): number {
        this.#applyDecay();
        let work = 0;
        for (let index = 0; index < getIndex(priority); index++) {
            work += this.#work[index]!;
        }
        return work / DECAY_MS;
    }

    #applyDecay(): void {
        const now = this.#clock.getTime();
        if (now > this.#time) {
            const factor = Math.exp((this.#time - now) / DECAY_MS);
            for (let index = 0; index < this.#work.length; index++) {
                this.#work[index] = this.#work[index]! * factor;
            }
            this.#total *= factor;
            this.#time = now;
        }
    }
}

function getIndex(priority: number): number {
    return Math.min(Math.ceil(priority), LOWEST_PRIORITY);
}
