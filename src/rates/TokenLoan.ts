/** Tokens lent to another host. */
export interface TokenLoan {
    readonly id: number;
    /** 0 if the bucket held too few. */
    readonly tokens: number;
    /** When the loan expires and the tokens no longer count at the lender, in milliseconds. */
    readonly end: number;
}
