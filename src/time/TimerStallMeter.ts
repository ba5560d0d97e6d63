import type { Clock } from "./Clock.js";
import type { ScheduledCall } from "./ScheduledCall.js";
import type { StallMeter } from "./StallMeter.js";

const DEFAULT_TICK_MS = 20;
/** Timer lateness that is normal in a running process, in milliseconds. */
const TOLERANCE_MS = 2;

/** Measures stalls as the lateness of a periodic timer. */
export class TimerStallMeter implements StallMeter {
    readonly #clock: Clock;
    readonly #tickMs: number;
    #stalledMs = 0;
    #dueTime = Number.POSITIVE_INFINITY;
    #timer: ScheduledCall | undefined;

    /**
     * @param clock - The source of time.
     * @param tickMs - The timer period in milliseconds; shorter stalls may be missed.
     */
    constructor(clock: Clock, tickMs = DEFAULT_TICK_MS) {
        this.#clock = clock;
        this.#tickMs = tickMs;
    }

    /** Starts measuring. */
    start(): void {
        this.#dueTime = this.#clock.getTime() + this.#tickMs;
        this.#timer = this.#clock.schedule(this.#tickMs, () => this.#recordTick());
    }

    /** Stops measuring. */
    stop(): void {
        this.#timer?.cancel();
        this.#dueTime = Number.POSITIVE_INFINITY;
    }

    /** Gets the total time that the process was stalled since the start, in milliseconds. */
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
