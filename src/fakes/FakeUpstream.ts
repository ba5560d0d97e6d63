import type { Clock } from "../time/index.js";
import type { FakeConnection } from "./FakeConnection.js";
import type { FakeUpstreamFaults } from "./FakeUpstreamFaults.js";

/** How long a connection counts as fresh after a complete answer, in milliseconds. */
const FRESH_SPAN_MS = 1_000;

/** The state of one fake upstream with the connections to it. */
export class FakeUpstream {
    faults: FakeUpstreamFaults = {};
    running = 0;
    readonly #clock: Clock;
    #idle: FakeConnection[] = [];
    #downUntil = Number.NEGATIVE_INFINITY;
    #crash = new AbortController();

    /** @param clock - The source of time. */
    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /** Whether it refuses connections now. */
    isDown(): boolean {
        return this.faults.isDown === true || this.#clock.getTime() < this.#downUntil;
    }

    /**
     * Whether it came up within a span of time.
     * @param spanMs - The span in milliseconds.
     */
    isCold(spanMs: number): boolean {
        return this.#clock.getTime() < this.#downUntil + spanMs;
    }

    /** Gets the signal that is aborted when it crashes. */
    getCrashSignal(): AbortSignal {
        return this.#crash.signal;
    }

    /**
     * Crashes it: it loses the requests that it runs and refuses connections for a while.
     * @param restartMs - How long it refuses connections, in milliseconds.
     */
    stop(restartMs: number): void {
        this.#downUntil = this.#clock.getTime() + restartMs;
        this.#idle = [];
        this.#crash.abort();
        this.#crash = new AbortController();
    }

    /**
     * Removes an idle connection from the pool and returns it; undefined if a new one is needed.
     * @param isFresh - Whether the connection must have carried a complete answer recently.
     */
    claim(isFresh: boolean): FakeConnection | undefined {
        const newest = this.#idle.at(-1);
        const isUsable = newest !== undefined &&
            (!isFresh || this.#clock.getTime() - newest.lastAnswerTime <= FRESH_SPAN_MS);
        return isUsable ? this.#idle.pop() : undefined;
    }

    /**
     * Returns a connection to the pool after a complete answer.
     * @param connection - The connection.
     */
    release(connection: FakeConnection): void {
        connection.lastAnswerTime = this.#clock.getTime();
        this.#idle.push(connection);
    }

    /** Closes the idle connections. */
    closeIdle(): void {
        this.#idle = [];
    }

    /** Makes the idle connections drop all messages from now on. */
    stopIdle(): void {
        this.#idle.forEach(connection => connection.isSilent = true);
    }
}
