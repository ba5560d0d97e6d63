import type { Clock } from "./Clock.js";
import type { ScheduledCall } from "./ScheduledCall.js";
import type { StallMeter } from "./StallMeter.js";

const DEFAULT_TICK_MS = 20;
/** Lateness that timers have on a process that runs, in milliseconds. */
const TOLERANCE_MS = 2;

/** Measures by how much a timer that runs again and again comes late. */
export class TimerStallMeter implements StallMeter {
    readonly #clock: Clock;
    readonly #tickMs: number;
    #stalledMs = 0;
    #dueTime = Number.POSITIVE_INFINITY;
    #timer: ScheduledCall | undefined;

    /**
     * @param clock - The source of time.
     * @param tickMs - How often it looks, in milliseconds; a stand-still of less than this may be missed.
     */
    constructor(clock: Clock, tickMs = DEFAULT_TICK_MS) {
        this.#clock = clock;
        this.#tickMs = tickMs;
    }

    /** Starts to measure. */
    start(): void {
        this.#dueTime = this.#clock.getTime() + this.#tickMs;
        this.#timer = this.#clock.schedule(this.#tickMs, () => this.#recordTick());
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
