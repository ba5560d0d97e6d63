/** What is known of the claim of a plain key. */
export enum ClaimState {
    /** The asker holds the claim; for a question, that nobody does. */
    Granted = "granted",
    /** Another request holds it. */
    Taken = "taken",
    /** The store gave no answer. */
    Unavailable = "unavailable",
}
