/** Further inputs of an admission; not every limiter uses them. */
export interface AdmitOptions {
    /** Fingerprint of the request, checked against the quarantine at the account's owner. */
    readonly fingerprint: string;
    /** How long the request may wait for a token, in milliseconds. */
    readonly maxWaitMs: number;
}
