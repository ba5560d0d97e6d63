import type { Clock, ScheduledCall } from "../time/index.js";

/** The clock of one host; while it is paused, time passes but its timers do not run, as in a paused process. */
export class FakeHostClock implements Clock {
    readonly #clock: Clock;
    readonly #delayed = new Set<() => void>();
    #isPaused = false;

    /** @param clock - The clock of all hosts. */
    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /** Pauses the timers. */
    stop(): void {
        this.#isPaused = true;
    }

    /** Resumes the timers and runs those that became due during the pause. */
    start(): void {
        this.#isPaused = false;
        const delayed = [...this.#delayed];
        this.#delayed.clear();
        for (const callback of delayed) {
            callback();
        }
    }

    /** Gets the monotonic time in milliseconds. */
    getTime(): number {
        return this.#clock.getTime();
    }

    /** Gets the wall-clock time in milliseconds since the Unix epoch. */
    getWallTime(): number {
        return this.#clock.getWallTime();
    }

    /**
     * Schedules a callback to run once.
     * @param delayMs - Delay in milliseconds.
     * @param callback - What to run.
     */
    schedule(delayMs: number, callback: () => void): ScheduledCall {
        const run = (): void => {
            if (this.#isPaused) {
                this.#delayed.add(callback);
            }
            else {
                callback();
            }
        };
        const call = this.#clock.schedule(delayMs, run);
        return {
            cancel: () => {
                call.cancel();
                this.#delayed.delete(callback);
            },
        };
    }

    /**
     * Waits for a delay; rejects with the signal's reason if it is aborted first.
     * @param delayMs - Delay in milliseconds.
     * @param signal - Ends the wait early.
     */
    wait(delayMs: number, signal?: AbortSignal): Promise<void> {
        return new Promise((resolve, reject) => {
            if (signal?.aborted) {
                reject(signal.reason as Error);
                return;
            }
            const cancel = (): void => {
                call.cancel();
                reject(signal?.reason as Error);
            };
            const call = this.schedule(delayMs, () => {
                signal?.removeEventListener("abort", cancel);
                resolve();
            });
            signal?.addEventListener("abort", cancel, { once: true });
        });
    }
}
