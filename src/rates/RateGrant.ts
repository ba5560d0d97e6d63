/** Records a spent token, with what is needed to give it back. */
export interface RateGrant {
    /** When it was spent, in milliseconds of the clock. */
    readonly time: number;
}
