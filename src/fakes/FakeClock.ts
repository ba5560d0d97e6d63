import type { Clock, ScheduledCall } from "../time/index.js";
import { waitForTasks } from "./waitForTasks.js";

interface PendingCall {
    readonly time: number;
    readonly order: number;
    readonly callback: () => void;
}

/** A clock that stands still until it is told to move. */
export class FakeClock implements Clock {
    readonly #wallTimeAtStart: number;
    readonly #pending = new Set<PendingCall>();
    #time = 0;
    #nextOrder = 0;

    /** @param wallTimeAtStart - The wall-clock time at time 0, in milliseconds since the Unix epoch. */
    constructor(wallTimeAtStart = 1_800_000_000_000) {
        this.#wallTimeAtStart = wallTimeAtStart;
    }

    /** Gets the time since the start in milliseconds. */
    getTime(): number {
        return this.#time;
    }

    /** Gets the wall-clock time in milliseconds since the Unix epoch. */
    getWallTime(): number {
        return this.#wallTimeAtStart + this.#time;
    }

    /**
     * Schedules a callback to run once.
     * @param delayMs - Delay in milliseconds.
     * @param callback - What to run.
     */
    schedule(delayMs: number, callback: () => void): ScheduledCall {
        const call = { time: this.#time + Math.max(0, delayMs), order: this.#nextOrder++, callback };
        this.#pending.add(call);
        return { cancel: () => this.#pending.delete(call) };
    }

    /**
     * Waits for a delay.
     * @param delayMs - Delay in milliseconds.
     * @param signal - Ends the wait early.
     */
    wait(delayMs: number, signal?: AbortSignal): Promise<void> {
        return new Promise((resolve, reject) => {
            if (signal?.aborted) {
                reject(signal.reason as Error);
                return;
            }
            const call = this.schedule(delayMs, () => {
                signal?.removeEventListener("abort", cancel);
                resolve();
            });
            const cancel = (): void => {
                call.cancel();
                reject(signal?.reason as Error);
            };
            signal?.addEventListener("abort", cancel, { once: true });
        });
    }

    /**
     * Runs everything that is due within a span of time, in order, and moves the time to its end.
     * @param durationMs - The span in milliseconds.
     */
    async run(durationMs: number): Promise<void> {
        const end = this.#time + durationMs;
        await waitForTasks();
        for (let call = this.#findNext(end); call !== undefined; call = this.#findNext(end)) {
            this.#pending.delete(call);
            this.#time = Math.max(this.#time, call.time);
            call.callback();
            await waitForTasks();
        }
        this.#time = end;
    }

    #findNext(end: number): PendingCall | undefined {
        let next: PendingCall | undefined;
        for (const call of this.#pending) {
            const isEarlier = next === undefined || call.time < next.time ||
                (call.time === next.time && call.order < next.order);
            if (call.time <= end && isEarlier) {
                next = call;
            }
        }
        return next;
    }
}
