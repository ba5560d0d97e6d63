import type { Clock } from "../time/index.js";

interface Waiter {
    readonly end: (isGranted: boolean) => void;
}

/** Grants a fixed number of slots, first come, first served, with a short queue. */
export class SlotQueue {
    readonly #clock: Clock;
    readonly #slots: number;
    readonly #queueLimit: number;
    readonly #waiters: Waiter[] = [];
    #busy = 0;

    /**
     * @param clock - The source of time.
     * @param slots - Slots in all.
     * @param queueLimit - Requests that may wait.
     */
    constructor(clock: Clock, slots: number, queueLimit: number) {
        this.#clock = clock;
        this.#slots = slots;
        this.#queueLimit = queueLimit;
    }

    /** Gets the number of slots in use. */
    getBusy(): number {
        return this.#busy;
    }

    /** Gets the number of requests that wait. */
    getQueued(): number {
        return this.#waiters.length;
    }

    /**
     * Claims a slot; resolves to false if none came free in time.
     * @param waitMs - The longest wait, in milliseconds.
     * @param signal - Ends the wait early.
     */
    async claim(waitMs: number, signal: AbortSignal): Promise<boolean> {
        if (this.#busy < this.#slots) {
            this.#busy++;
            return true;
        }
        if (this.#waiters.length >= this.#queueLimit || waitMs <= 0 || signal.aborted) {
            return false;
        }
        return await this.#waitForSlot(waitMs, signal);
    }

    /** Releases a slot, to the request that has waited longest if there is one. */
    release(): void {
        const next = this.#waiters.shift();
        if (next === undefined) {
            this.#busy--;
        }
        else {
            next.end(true);
        }
    }

    #waitForSlot(waitMs: number, signal: AbortSignal): Promise<boolean> {
        return new Promise(resolve => {
            const stopWaiting = (isGranted: boolean): void => {
                timer.cancel();
                signal.removeEventListener("abort", cancel);
                resolve(isGranted);
            };
            const waiter = { end: stopWaiting };
            const cancel = (): void => {
                this.#waiters.splice(this.#waiters.indexOf(waiter), 1);
                stopWaiting(false);
            };
            const timer = this.#clock.schedule(waitMs, cancel);
            signal.addEventListener("abort", cancel, { once: true });
            this.#waiters.push(waiter);
        });
    }
}
