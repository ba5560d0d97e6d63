import type { Clock } from "./Clock.js";
import type { ScheduledCall } from "./ScheduledCall.js";
import type { StallMeter } from "./StallMeter.js";

const TICK_MS = 20;
/** Lateness that timers have on a process that runs, in milliseconds. */
const TOLERANCE_MS = 2;

/** Measures by how much a timer that runs again and again comes late. */
export class TimerStallMeter implements StallMeter {
    readonly #clock: Clock;
    #stalledMs = 0;
    #dueTime = Number.POSITIVE_INFINITY;
    #timer: ScheduledCall | undefined;

    /** @param clock - The source of time. */
    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /** Starts to measure. */
    start(): void {
        this.#dueTime = this.#clock.getTime() + TICK_MS;
        this.#timer = this.#clock.schedule(TICK_MS, () => this.#recordTick());
    }

    /** Stops to measure. */
    stop(): void {
        this.#timer?.cancel();
        this.#dueTime = Number.POSITIVE_INFINITY;
    }

    /** Gets the time in which the process has stood still since the start, in milliseconds. */
    getStalledTime(): number {
        return this.#stalledMs + this.#getLateness();
    }

    #recordTick(): void {
        this.#stalledMs += this.#getLateness();
        this.start();
    }

    #getLateness(): number {
        return Math.max(0, this.#clock.getTime() - this.#dueTime - TOLERANCE_MS);
    }
}
