import type { Clock } from "../time/index.js";

/** One direction of a host's link in memory, which sends messages one after the other. */
export class FakeLink {
    /** Bytes sent or queued. */
    bytes = 0;
    /** Messages sent or queued. */
    messages = 0;
    readonly #clock: Clock;
    readonly #bytesPerMs: number;
    #freeTime = 0;

    /**
     * @param clock - The source of time.
     * @param bytesPerMs - Rate of the link, in bytes per millisecond; Infinity for no limit.
     */
    constructor(clock: Clock, bytesPerMs: number) {
        this.#clock = clock;
        this.#bytesPerMs = bytesPerMs;
    }

    /**
     * Sends a message over the link and waits until it has been transmitted.
     * @param bytes - Length of the message.
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
