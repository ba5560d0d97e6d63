/** The answer to "which addresses shall I use?". */
export interface LookupAnswer {
    readonly addresses: readonly LookupAddress[];
    /** How long the answer may be kept, in milliseconds. */
    readonly ttlMs: number;
}

interface LookupAddress {
    readonly url: string;
    /** Begins the Idempotency-Key of orders that are sent to this address first. */
    readonly keyPrefix: string;
}
