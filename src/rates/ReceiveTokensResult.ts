/** Whether the giver still counted the loan. */
export interface ReceiveTokensResult {
    readonly isRemoved: boolean;
}
