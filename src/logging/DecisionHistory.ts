import type { Clock } from "../time/index.js";
import type { DecisionFilter } from "./DecisionFilter.js";
import type { DecisionLog } from "./DecisionLog.js";
import type { DecisionRecord } from "./DecisionRecord.js";
import type { TimedDecision } from "./TimedDecision.js";

const DEFAULT_CAPACITY = 20_000;

/** Keeps the most recent decisions in a ring buffer and passes each to a listener. */
export class DecisionHistory implements DecisionLog {
    readonly #clock: Clock;
    readonly #listener: (decision: TimedDecision) => void;
    readonly #capacity: number;
    readonly #decisions: TimedDecision[] = [];
    #next = 0;

    /**
     * @param clock - The source of time.
     * @param listener - Receives each decision, for example to write it to the log.
     * @param capacity - The maximum number of decisions to keep.
     */
    constructor(clock: Clock, listener: (decision: TimedDecision) => void = () => {}, capacity = DEFAULT_CAPACITY) {
        this.#clock = clock;
        this.#listener = listener;
        this.#capacity = capacity;
    }

    /**
     * Records a decision.
     * @param record - The decision.
     */
    record(record: DecisionRecord): void {
        const decision: TimedDecision = { time: this.#clock.getWallTime(), ...record };
        this.#decisions[this.#next] = decision;
        this.#next = (this.#next + 1) % this.#capacity;
        this.#listener(decision);
    }

    /**
     * Finds the matching decisions, oldest first.
     * @param filter - The filter.
     */
    find(filter: DecisionFilter): readonly TimedDecision[] {
        const older = this.#decisions.slice(this.#next);
        const newer = this.#decisions.slice(0, this.#next);
        const fields = Object.entries(filter).filter(([, value]) => value !== undefined);
        return [...older, ...newer].filter(decision =>
            fields.every(([name, value]) => decision[name as keyof DecisionFilter] === value)
        );
    }
}
