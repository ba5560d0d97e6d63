/** Acknowledges a summary. */
export interface ShareBaselineResult {
    /** Whether the receiver has another part of that service. */
    readonly isUsed: boolean;
}
