import { setTimeout as waitForTimeout } from "node:timers/promises";
import type { Clock } from "./Clock.js";
import type { ScheduledCall } from "./ScheduledCall.js";

/** Longest delay of a timer, in milliseconds; Node.js runs a longer one at once. */
const MAX_DELAY_MS = 2 ** 31 - 1;

/** The system clock. */
export class SystemClock implements Clock {
    /** Gets the monotonic time in milliseconds. */
    getTime(): number {
        return performance.now();
    }

    /** Gets the wall-clock time in milliseconds since the Unix epoch. */
    getWallTime(): number {
        return Date.now();
    }

    /**
     * Schedules a callback to run once.
     * @param delayMs - Delay in milliseconds.
     * @param callback - The callback to run.
     */
    schedule(delayMs: number, callback: () => void): ScheduledCall {
        const timer = setTimeout(callback, Math.min(delayMs, MAX_DELAY_MS));
        return { cancel: () => clearTimeout(timer) };
    }

    /**
     * Waits for a delay.
     * @param delayMs - Delay in milliseconds.
     * @param signal - Ends the wait early.
     */
    async wait(delayMs: number, signal?: AbortSignal): Promise<void> {
        await waitForTimeout(Math.min(delayMs, MAX_DELAY_MS), undefined, { signal });
    }
}
