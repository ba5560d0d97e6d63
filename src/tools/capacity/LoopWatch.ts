/** Measures the longest time for which the event loop ran nothing else, in milliseconds. */
export class LoopWatch {
    #longestMs = 0;
    #last = performance.now();
    #timer: NodeJS.Immediate | undefined;

    /** Starts measuring. */
    start(): void {
        this.#longestMs = 0;
        this.#last = performance.now();
        this.#scheduleNext();
    }

    /** Stops and returns the longest time. */
    stop(): number {
        this.#record();
        clearImmediate(this.#timer);
        return this.#longestMs;
    }

    #scheduleNext(): void {
        this.#timer = setImmediate(() => {
            this.#record();
            this.#scheduleNext();
        });
    }

    #record(): void {
        const now = performance.now();
        this.#longestMs = Math.max(this.#longestMs, now - this.#last);
        this.#last = now;
    }
}
