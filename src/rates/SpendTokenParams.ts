/** Asks the host that keeps an account's rate for one token. */
export interface SpendTokenParams {
    readonly account: string;
    /** The rate that the caller's host knows, for an owner that does not know the account yet. */
    readonly rate: number;
    readonly burst: number;
    /** Tells the request from others. */
    readonly fingerprint: string | undefined;
    /** How long the request may wait for its token, in milliseconds. */
    readonly maxWaitMs: number;
}
