import type { Clock } from "../../time/index.js";
import { PriorityWork } from "./PriorityWork.js";

/** The least share of a priority's requests that is admitted, relative to the share of all requests that is, from 0 to 1. */
const MIN_RELATIVE_SHARE = 0.4;

/** Finds the priorities of which so little is admitted, compared to others, that they go first: no priority starves. */
export class PriorityFloor {
    readonly #asked: PriorityWork;
    readonly #admitted: PriorityWork;

    /** @param clock - The source of time. */
    constructor(clock: Clock) {
        this.#asked = new PriorityWork(clock);
        this.#admitted = new PriorityWork(clock);
    }

    /**
     * Records that a request asks for slot time.
     * @param priority - Its priority, 0 the highest.
     * @param costMs - Its expected slot time, in milliseconds.
     */
    recordAsked(priority: number, costMs: number): void {
        this.#asked.add(priority, costMs);
    }

    /**
     * Records that a request was admitted to the queue, or with a negative time that it was refused there.
     * @param priority - Its priority, 0 the highest.
     * @param costMs - Its expected slot time, in milliseconds.
     */
    recordAdmitted(priority: number, costMs: number): void {
        this.#admitted.add(priority, costMs);
    }

    /**
     * Whether a request goes first as too few of its priority are admitted.
     * @param priority - Its priority, 0 the highest.
     * @param costMs - Its expected slot time, in milliseconds.
     */
    isBelowFloor(priority: number, costMs: number): boolean {
        const total = this.#asked.getTotal();
        const share = total === 0 ? 0 : this.#admitted.getTotal() / total;
        return this.#admitted.get(priority) + costMs < MIN_RELATIVE_SHARE * share * this.#asked.get(priority);
    }
}
