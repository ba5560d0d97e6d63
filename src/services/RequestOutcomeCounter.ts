import type { Clock } from "../time/index.js";

/** Length of one part of the span that is looked at, in milliseconds. */
const PART_MS = 500;
/** Parts of the span: two seconds, the window in which the platform's pages judge what a service serves. */
const PARTS = 4;

interface Part {
    readonly index: number;
    requests: number;
    unserved: number;
}

/** Counts how many requests of the last two seconds were not served. */
export class RequestOutcomeCounter {
    readonly #clock: Clock;
    #parts: Part[] = [];

    /** @param clock - The source of time. */
    constructor(clock: Clock) {
        this.#clock = clock;
    }

    /**
     * Records the end of a request.
     * @param isServed - Whether it was served.
     */
    record(isServed: boolean): void {
        const index = this.#getIndex();
        this.#removeOld(index);
        let part = this.#parts.at(-1);
        if (part?.index !== index) {
            part = { index, requests: 0, unserved: 0 };
            this.#parts.push(part);
        }
        part.requests++;
        part.unserved += Number(!isServed);
    }

    /** Gets the requests that ended in the last two seconds. */
    getRequests(): number {
        this.#removeOld(this.#getIndex());
        return this.#parts.reduce((sum, part) => sum + part.requests, 0);
    }

    /** Gets how many of them were not served. */
    getUnserved(): number {
        this.#removeOld(this.#getIndex());
        return this.#parts.reduce((sum, part) => sum + part.unserved, 0);
    }

    #getIndex(): number {
        return Math.floor(this.#clock.getTime() / PART_MS);
    }

    #removeOld(index: number): void {
        this.#parts = this.#parts.filter(part => part.index > index - PARTS);
    }
}
