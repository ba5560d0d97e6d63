/** Tokens lent to another host. */
export interface TokenLoan {
    readonly id: number;
    /** None if the bucket held too few. */
    readonly tokens: number;
    /** Until when they count at the giver, in milliseconds. */
    readonly end: number;
}
