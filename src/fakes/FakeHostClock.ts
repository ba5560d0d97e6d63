import type { Clock, ScheduledCall } from "../time/index.js";

/** The clock of one host, whose timers can be held back as in a paused process while the time goes on. */
export class FakeHostClock implements Clock {
    readonly #clock: Clock;
    readonly #held = new Set<() => void>();
    #isPaused = false;

    /** @param clock - The clock of all hosts. */
    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /** Holds timers back from now on. */
    stop(): void {
        this.#isPaused = true;
    }

    /** Runs the timers that were held back. */
    start(): void {
        this.#isPaused = false;
        const held = [...this.#held];
        this.#held.clear();
        for (const callback of held) {
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
                this.#held.add(callback);
            }
            else {
                callback();
            }
        };
        const call = this.#clock.schedule(delayMs, run);
        return {
            cancel: () => {
                call.cancel();
                this.#held.delete(callback);
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
