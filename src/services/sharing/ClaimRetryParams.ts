/** A service host's question whether it may send a request to one more upstream. */
export interface ClaimRetryParams {
    /** Identifies the attempt at its sender. */
    readonly id: number;
}
