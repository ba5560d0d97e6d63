/** A request to lend tokens from a bucket. */
export interface LoanRequest {
    /** Unique among the loans of this host. */
    readonly id: number;
    /** With fewer tokens available, none are lent. */
    readonly minimum: number;
    readonly maximum: number;
    /** When the loan expires, in milliseconds of the clock; until then the tokens may still be in transit. */
    readonly end: number;
}
