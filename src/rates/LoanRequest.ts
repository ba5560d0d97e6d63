/** How many tokens a bucket is asked to lend. */
export interface LoanRequest {
    /** Differs for every loan of this host. */
    readonly id: number;
    /** Fewer than this are not given. */
    readonly minimum: number;
    readonly maximum: number;
    /** Until when the tokens may be on their way, in milliseconds of the clock. */
    readonly end: number;
}
