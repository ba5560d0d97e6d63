/** Result of the call that confirms the receipt of lent tokens. */
export interface ReceiveTokensResult {
    /** Whether the loan still counted at the lender. */
    readonly isRemoved: boolean;
}
