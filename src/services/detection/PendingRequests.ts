/** Expected but missing answers at which an upstream counts as silent; e to the minus 8 is 1 in 3,000 by chance. */
const MISSED_ANSWERS = 8;
/** Multiple of the usual time that at least one request must also have waited without any answer. */
const MIN_WAIT_FACTOR = 2.5;
/** Lower bound of the usual time, in milliseconds: one lost packet delays an answer by as much. */
const MIN_USUAL_MS = 200;
/** The usual time of a route of which neither latencies nor a target are known, in milliseconds. */
const DEFAULT_USUAL_MS = 500;

interface PendingRequest {
    readonly start: number;
    readonly usualMs: number;
    /** The deadline, in milliseconds. */
    readonly end: number;
}

/** Tracks the pending requests of an upstream and detects that their answers are overdue: the upstream is silent. */
export class PendingRequests {
    readonly #requests: PendingRequest[] = [];
    #lastAnswer = Number.NEGATIVE_INFINITY;

    /**
     * Adds a request that was sent.
     * @param time - The time at which it was sent, in milliseconds.
     * @param usualMs - The time within which most answers arrive, in milliseconds; 0 if unknown.
     * @param timeoutMs - Time to its deadline, in milliseconds.
     */
    add(time: number, usualMs: number, timeoutMs: number): void {
        this.#requests.push({
            start: time,
            end: time + timeoutMs,
            usualMs: usualMs === 0 ? DEFAULT_USUAL_MS : Math.max(MIN_USUAL_MS, usualMs),
        });
    }

    /** Removes the oldest request when any one has ended; which of them it was makes little difference. */
    remove(): void {
        this.#requests.shift();
    }

    /**
     * Records that the upstream answered, or that this process was stalled and could not have received an answer.
     * @param time - The time, in milliseconds.
     */
    recordAnswer(time: number): void {
        this.#lastAnswer = time;
    }

    /**
     * Whether the upstream is silent.
     * @param time - The time, in milliseconds.
     */
    isSilent(time: number): boolean {
        const open = this.#requests.filter(request => request.end > time);
        const waits = open.map(({ start, usualMs }) => (time - Math.max(start, this.#lastAnswer)) / usualMs);
        const missed = waits.reduce((sum, wait) => sum + wait, 0);
        return missed >= MISSED_ANSWERS && Math.max(...waits) >= MIN_WAIT_FACTOR;
    }
}
