/** Asks another account host for tokens of an account. */
export interface BorrowTokensParams {
    readonly account: string;
    /** Fewer than this are of no use to the asker. */
    readonly minimum: number;
    /** Tokens for requests that wait. */
    readonly needed: number;
    /** Tokens beyond those, for requests to come. */
    readonly advance: number;
}
