/** The part of an idempotency key that names the process which alone may dispatch its orders. */
export interface KeyPrefix {
    readonly memberId: string;
    readonly incarnation: string;
    /** Whole minutes from the start of the incarnation to the issue of the prefix. */
    readonly minute: number;
}
