/** Bytes received after which the young generation is collected: buffers are freed late, as only small objects count there. */
const COLLECT_INTERVAL_BYTES = 8 * 1024 * 1024;

/** Collects the buffers of received bytes, which would otherwise stay until many small objects have been created. */
export class GarbageCollector {
    readonly #collect: (() => void) | undefined;
    #receivedBytes = 0;

    /** @param collect - Collects the young generation; undefined if the process can't ask for it. */
    constructor(collect: (() => void) | undefined) {
        this.#collect = collect;
    }

    /**
     * Records that bytes were received and copied.
     * @param bytes - How many.
     */
    record(bytes: number): void {
        this.#receivedBytes += bytes;
        if (this.#receivedBytes >= COLLECT_INTERVAL_BYTES) {
            this.#receivedBytes = 0;
            this.#collect?.();
        }
    }
}
