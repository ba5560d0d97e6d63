/** Asks a service host for the outcome of a request that is not idempotent. */
export interface FindOutcomeParams {
    readonly requestId: string;
    /**
     * The longest time that can have passed since the request was sent when this call is handled, in milliseconds:
     * the time since then when the call is sent, and the call's own timeout.
     */
    readonly maxAgeMs: number;
}
