import type { Clock } from "../time/index.js";

/** One direction of a host's link in memory; messages pass one after the other. */
export class FakeLink {
    /** Bytes that have passed or wait to. */
    bytes = 0;
    /** Messages that have passed or wait to. */
    messages = 0;
    readonly #clock: Clock;
    readonly #bytesPerMs: number;
    #freeTime = 0;

    /**
     * @param clock - The source of time.
     * @param bytesPerMs - Its rate; Infinity for a link that holds nothing up.
     */
    constructor(clock: Clock, bytesPerMs: number) {
        this.#clock = clock;
        this.#bytesPerMs = bytesPerMs;
    }

    /**
     * Sends a message over the link and waits until it has passed.
     * @param bytes - Its length.
     */
    async send(bytes: number): Promise<void> {
        this.bytes += bytes;
        this.messages++;
        if (this.#bytesPerMs === Number.POSITIVE_INFINITY) {
            return;
        }
        const now = this.#clock.getTime();
        this.#freeTime = Math.max(this.#freeTime, now) + bytes / this.#bytesPerMs;
        await this.#clock.wait(this.#freeTime - now);
    }
}
