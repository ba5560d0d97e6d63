/** When an attempt of an idempotent request makes way for one at another upstream. */
export interface AttemptPatience {
    /** Time without a first byte, in milliseconds. */
    readonly timeoutMs: number;
    /** Whether the service's budget has a retry to spare and another upstream a free slot. */
    readonly hasRetry: () => boolean;
}
