import type { Clock } from "../time/index.js";
import type { UpstreamState } from "./UpstreamState.js";

interface TimedState {
    readonly time: number;
    readonly state: UpstreamState;
}

/** Keeps an upstream's lately reported states, so that its health and load endpoints lag. */
export class UpstreamReports {
    readonly #clock: Clock;
    readonly #lagMs: number;
    #states: TimedState[] = [];

    /**
     * @param clock - The source of time.
     * @param lagMs - How old a reported state is, in milliseconds.
     */
    constructor(clock: Clock, lagMs: number) {
        this.#clock = clock;
        this.#lagMs = lagMs;
    }

    /**
     * Records a state, to be reported after the lag.
     * @param state - The state.
     */
    record(state: UpstreamState): void {
        const time = this.#clock.getTime();
        this.#states.push({ time, state });
        const shown = this.#states.findLastIndex(entry => entry.time <= time - this.#lagMs);
        if (shown > 0) {
            this.#states = this.#states.slice(shown);
        }
    }

    /** Gets the state that is reported now. */
    getState(): UpstreamState | undefined {
        const time = this.#clock.getTime() - this.#lagMs;
        return this.#states.findLast(entry => entry.time <= time)?.state;
    }
}
