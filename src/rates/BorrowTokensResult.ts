/** Result of the call that borrows tokens from an account host. */
export interface BorrowTokensResult {
    /** Tokens that the lender has debited. */
    readonly tokens: number;
    /** The lender's id of the loan. */
    readonly loanId: number;
    /** Whether the lender wants a receipt, because its bucket can't refill while the loan counts there. */
    readonly isReceiptWanted: boolean;
}
