/** What kind of request a caller sends. */
export enum RequestKind {
    Lookup = "lookup",
    /** Runs at most once; carries an Idempotency-Key. */
    Order = "order",
    /** A large answer. */
    Bulk = "bulk",
}
