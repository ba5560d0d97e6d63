/** How an order route handles a request without an Idempotency-Key. */
export enum KeylessOrderPolicy {
    Refuse = "refuse",
    /** Dispatches it at most once. */
    Accept = "accept",
}
