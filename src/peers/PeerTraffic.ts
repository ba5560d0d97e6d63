import type { PeerTrafficSummary } from "./PeerTrafficSummary.js";

/** Counts the calls to other entry hosts and what they were answered since the last summary. */
export class PeerTraffic {
    #calls = 0;
    #failures = 0;
    #bytes = 0;
    #slowestMs = 0;
    #answeredBytes = 0;

    /**
     * Records the body of a call that is sent.
     * @param bytes - Its length.
     */
    recordSent(bytes: number): void {
        this.#calls++;
        this.#bytes += bytes;
    }

    /**
     * Records the end of a call.
     * @param durationMs - How long it took, in milliseconds.
     * @param isAnswered - Whether the peer has answered.
     */
    recordEnd(durationMs: number, isAnswered: boolean): void {
        this.#slowestMs = Math.max(this.#slowestMs, durationMs);
        this.#failures += isAnswered ? 0 : 1;
    }

    /**
     * Records the answer to a request that another host has forwarded to this one.
     * @param bytes - Its length with head and body.
     */
    recordAnswer(bytes: number): void {
        this.#answeredBytes += bytes;
    }

    /** Gets the figures since the last summary and starts anew. */
    readSummary(): PeerTrafficSummary {
        const summary = {
            calls: this.#calls,
            failures: this.#failures,
            bytes: this.#bytes,
            slowestMs: this.#slowestMs,
            answeredBytes: this.#answeredBytes,
        };
        this.#calls = 0;
        this.#failures = 0;
        this.#bytes = 0;
        this.#slowestMs = 0;
        this.#answeredBytes = 0;
        return summary;
    }
}
