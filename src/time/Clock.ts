import type { ScheduledCall } from "./ScheduledCall.js";

/** A source of time and timers, injected so that tests can control time. */
export interface Clock {
    /** Gets the monotonic time in milliseconds; its zero point is arbitrary. */
    getTime(): number;
    /** Gets the wall-clock time in milliseconds since the Unix epoch. */
    getWallTime(): number;
    /**
     * Schedules a callback to run once.
     * @param delayMs - Delay in milliseconds.
     * @param callback - The callback to run.
     */
    schedule(delayMs: number, callback: () => void): ScheduledCall;
    /**
     * Waits for a delay; rejects with the signal's reason if it is aborted first.
     * @param delayMs - Delay in milliseconds.
     * @param signal - Ends the wait early.
     */
    wait(delayMs: number, signal?: AbortSignal): Promise<void>;
}
