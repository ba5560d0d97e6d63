/** The answer of a host that received shares. */
export interface HandOverRatesResult {
    /** How many it took over. */
    readonly accepted: number;
}
