/** What an admission may take into account beside the account; not every limiter does. */
export interface AdmitOptions {
    /** Tells the request from others, for the quarantine at the account's owner. */
    readonly fingerprint: string;
    /** How long the request may wait for a token, in milliseconds. */
    readonly maxWaitMs: number;
}
