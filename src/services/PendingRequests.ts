/** Expected answers that fail to come until an upstream counts as silent; e to the minus 8 is 1 in 3,000 by chance. */
const MISSED_ANSWERS = 8;
/** And how many times as long as usual the oldest request has waited without any answer. */
const MIN_WAIT_FACTOR = 2.5;
/** Shorter usual times are taken for this, in milliseconds: one lost packet delays an answer by as much. */
const MIN_USUAL_MS = 200;
/** Taken for the usual time while a route's is not known, in milliseconds. */
const DEFAULT_USUAL_MS = 500;

interface WaitingAttempt {
    readonly start: number;
    readonly usualMs: number;
    /** When its deadline is, in milliseconds. */
    readonly end: number;
}

/** Tells from the requests under way at an upstream whether answers stay out that should have come. */
export class PendingRequests {
    readonly #attempts: WaitingAttempt[] = [];
    #lastAnswer = Number.NEGATIVE_INFINITY;

    /**
     * Adds a request that is under way.
     * @param time - When it was sent, in milliseconds.
     * @param usualMs - How long its answer usually takes at most, in milliseconds; 0 if that is not known.
     * @param timeoutMs - How long it is of use, in milliseconds.
     */
    add(time: number, usualMs: number, timeoutMs: number): void {
        this.#attempts.push({
            start: time,
            end: time + timeoutMs,
            usualMs: usualMs === 0 ? DEFAULT_USUAL_MS : Math.max(MIN_USUAL_MS, usualMs),
        });
    }

    /** Removes the oldest request, as one has ended; which one it was makes little difference. */
    remove(): void {
        this.#attempts.shift();
    }

    /**
     * Records that something was heard from the upstream, or that this process could not have heard it.
     * @param time - When, in milliseconds.
     */
    recordAnswer(time: number): void {
        this.#lastAnswer = time;
    }

    /**
     * Whether answers stay out.
     * @param time - The time in milliseconds.
     */
    isSilent(time: number): boolean {
        const open = this.#attempts.filter(attempt => attempt.end > time);
        const waits = open.map(({ start, usualMs }) => (time - Math.max(start, this.#lastAnswer)) / usualMs);
        const missed = waits.reduce((sum, wait) => sum + wait, 0);
        return missed >= MISSED_ANSWERS && Math.max(...waits) >= MIN_WAIT_FACTOR;
    }
}
