/** The answer to an address lookup. */
export interface LookupAnswer {
    readonly addresses: readonly LookupAddress[];
    /** How long the answer may be cached, in milliseconds. */
    readonly ttlMs: number;
}

interface LookupAddress {
    readonly url: string;
    /** Prefix of the Idempotency-Key of orders whose first attempt is sent to this address. */
    readonly keyPrefix: string;
}
