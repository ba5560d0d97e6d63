import type { Clock, ScheduledCall } from "../time/index.js";
import { waitForTasks } from "./waitForTasks.js";

interface PendingCall {
    readonly time: number;
    readonly order: number;
    readonly callback: () => void;
    isCancelled: boolean;
}

/** A clock whose time only advances in `run`. */
export class FakeClock implements Clock {
    readonly #wallTimeAtStart: number;
    /** The scheduled calls as a binary heap with the earliest call first. */
    readonly #pending: PendingCall[] = [];
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
        const time = this.#time + Math.max(0, delayMs);
        const call = { time, order: this.#nextOrder++, callback, isCancelled: false };
        this.#add(call);
        return { cancel: () => call.isCancelled = true };
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
     * Advances the time and runs the calls that become due, in order of time.
     * @param durationMs - How far to advance, in milliseconds.
     */
    async run(durationMs: number): Promise<void> {
        const end = this.#time + durationMs;
        await waitForTasks();
        for (let call = this.#removeNext(end); call !== undefined; call = this.#removeNext(end)) {
            this.#time = Math.max(this.#time, call.time);
            call.callback();
            await waitForTasks();
        }
        this.#time = end;
    }

    #removeNext(end: number): PendingCall | undefined {
        while (this.#pending.length > 0 && (this.#pending[0]!.isCancelled || this.#pending[0]!.time <= end)) {
            const call = this.#removeFirst();
            if (!call.isCancelled) {
                return call;
            }
        }
        return undefined;
    }

    #add(call: PendingCall): void {
        const heap = this.#pending;
        let index = heap.length;
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (!isBefore(call, heap[parent]!)) {
                break;
            }
            heap[index] = heap[parent]!;
            index = parent;
        }
        heap[index] = call;
    }

    #removeFirst(): PendingCall {
        const heap = this.#pending;
        const first = heap[0]!;
        const last = heap.pop()!;
        let index = 0;
        for (let child = 1; child < heap.length; child = 2 * index + 1) {
            if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) {
                child++;
            }
            if (!isBefore(heap[child]!, last)) {
                break;
            }
            heap[index] = heap[child]!;
            index = child;
        }
        if (heap.length > 0) {
            heap[index] = last;
        }
        return first;
    }
}

function isBefore(left: PendingCall, right: PendingCall): boolean {
    return left.time < right.time || (left.time === right.time && left.order < right.order);
}
