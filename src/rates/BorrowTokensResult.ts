/** The answer of an account host that was asked for tokens. */
export interface BorrowTokensResult {
    /** Tokens debited at the giver. */
    readonly tokens: number;
    /** Tokens left there. */
    readonly left: number;
}
