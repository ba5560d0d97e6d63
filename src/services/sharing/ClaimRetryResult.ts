/** The answer to a service host that asks whether it may send a request to one more upstream. */
export interface ClaimRetryResult {
    readonly isGranted: boolean;
}
