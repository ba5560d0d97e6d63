/** A token that was spent, so that it can be given back. */
export interface RateGrant {
    /** When it was spent, in milliseconds of the clock. */
    readonly time: number;
}
