import type { PeerTrafficSummary } from "./PeerTrafficSummary.js";

/** Counts the calls to other entry hosts and the bytes of answers to forwarded requests, since the last summary. */
export class PeerTraffic {
    #calls = 0;
    #failures = 0;
    #bytes = 0;
    #slowestMs = 0;
    #answeredBytes = 0;

    /**
     * Records a call that is sent.
     * @param bytes - The length of its body in bytes.
     */
    recordSent(bytes: number): void {
        this.#calls++;
        this.#bytes += bytes;
    }

    /**
     * Records the end of a call.
     * @param durationMs - How long it took, in milliseconds.
     * @param isAnswered - Whether the peer answered.
     */
    recordEnd(durationMs: number, isAnswered: boolean): void {
        this.#slowestMs = Math.max(this.#slowestMs, durationMs);
        this.#failures += isAnswered ? 0 : 1;
    }

    /**
     * Records this host's answer to a request that another host has forwarded to it.
     * @param bytes - The length of its header and body in bytes.
     */
    recordAnswer(bytes: number): void {
        this.#answeredBytes += bytes;
    }

    /** Gets the counts since the last summary and resets them. */
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
