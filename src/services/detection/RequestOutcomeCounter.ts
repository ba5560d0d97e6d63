import type { Clock } from "../../time/index.js";

/** Length of a bucket, in milliseconds. */
const BUCKET_MS = 500;
/** Buckets of the sliding window: two seconds, the time over which the served share and the floor are measured. */
const BUCKETS = 4;

interface Bucket {
    readonly index: number;
    requests: number;
    unserved: number;
}

/** Counts the requests of a sliding window of two seconds, and how many of them were not served. */
export class RequestOutcomeCounter {
    readonly #clock: Clock;
    #buckets: Bucket[] = [];

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
        let bucket = this.#buckets.at(-1);
        if (bucket?.index !== index) {
            bucket = { index, requests: 0, unserved: 0 };
            this.#buckets.push(bucket);
        }
        bucket.requests++;
        bucket.unserved += Number(!isServed);
    }

    /** Gets the requests that ended in the last two seconds. */
    getRequests(): number {
        this.#removeOld(this.#getIndex());
        return this.#buckets.reduce((sum, bucket) => sum + bucket.requests, 0);
    }

    /** Gets how many requests of the last two seconds were not served. */
    getUnserved(): number {
        this.#removeOld(this.#getIndex());
        return this.#buckets.reduce((sum, bucket) => sum + bucket.unserved, 0);
    }

    #getIndex(): number {
        return Math.floor(this.#clock.getTime() / BUCKET_MS);
    }

    #removeOld(index: number): void {
        this.#buckets = this.#buckets.filter(bucket => bucket.index > index - BUCKETS);
    }
}
