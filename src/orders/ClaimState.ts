/** The state of the claim of a plain key. */
export enum ClaimState {
    /** The claim is granted; for a query: the key is not claimed. */
    Granted = "granted",
    /** Another request holds the claim. */
    Taken = "taken",
    /** The store did not answer. */
    Unavailable = "unavailable",
}
