/** The answer of an account host that was asked for tokens. */
export interface BorrowTokensResult {
    /** Tokens debited at the giver. */
    readonly tokens: number;
    /** Names the loan at the giver. */
    readonly loanId: number;
    /** Whether the giver can't refill while the loan counts there. */
    readonly isReceiptWanted: boolean;
}
