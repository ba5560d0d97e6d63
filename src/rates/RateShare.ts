/** The part of an account's rate and burst that one host holds. */
export interface RateShare {
    /** Whole tokens. */
    readonly burst: number;
    /** Tokens per second. */
    readonly rate: number;
}
