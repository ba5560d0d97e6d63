/** Tells the giver of a loan that its tokens have arrived. */
export interface ReceiveTokensParams {
    readonly account: string;
    readonly loanId: number;
}
