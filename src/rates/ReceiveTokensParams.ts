/** Parameters of the call that confirms to a lender that its tokens have arrived. */
export interface ReceiveTokensParams {
    readonly account: string;
    readonly loanId: number;
}
