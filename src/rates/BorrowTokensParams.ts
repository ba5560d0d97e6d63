/** Parameters of the call that borrows tokens of an account from another account host. */
export interface BorrowTokensParams {
    readonly account: string;
    /** The smallest number of tokens that the borrower can use. */
    readonly minimum: number;
    /** Tokens for requests that are waiting. */
    readonly needed: number;
    /** Further tokens for future requests. */
    readonly advance: number;
}
