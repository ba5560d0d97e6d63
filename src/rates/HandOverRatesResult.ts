/** Result of the call that hands shares over. */
export interface HandOverRatesResult {
    /** How many shares the receiver accepted. */
    readonly accepted: number;
}
