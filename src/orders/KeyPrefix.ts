/** The prefix of an idempotency key. It names the only process that may dispatch the key's order. */
export interface KeyPrefix {
    readonly memberId: string;
    readonly incarnation: string;
    /** Time from the incarnation's start to the issue of the prefix, in whole minutes. */
    readonly minute: number;
}
