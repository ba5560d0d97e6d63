/** Acknowledges a summary. */
export interface ShareBaselineResult {
    /** Whether the receiver serves that service too. */
    readonly isUsed: boolean;
}
