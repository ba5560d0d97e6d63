/** Parameters of a call that looks up the outcome of a request that is not idempotent. */
export interface FindOutcomeParams {
    readonly requestId: string;
    /**
     * Upper bound of the request's age when this call is handled, in milliseconds: its age when the call is sent, plus the call's
     * timeout.
     */
    readonly maxAgeMs: number;
}
