/** What came of a fault of an experiment. */
export interface FaultReport {
    readonly description: string;
    /** When it was caused, in milliseconds since the Unix epoch. */
    readonly causedAt: number;
    /** Why it could not be caused, if so. */
    readonly failure: string | undefined;
}
