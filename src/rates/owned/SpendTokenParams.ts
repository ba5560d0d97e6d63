/** Parameters of the call that spends one token at an owner of the account. */
export interface SpendTokenParams {
    readonly account: string;
    /** The account's rate as the sending host has it, for an owner whose configuration lacks the account. */
    readonly rate: number;
    readonly burst: number;
    /** Fingerprint of the request, checked against the quarantine. */
    readonly fingerprint: string | undefined;
    /** How long the request may wait for its token, in milliseconds. */
    readonly maxWaitMs: number;
}
