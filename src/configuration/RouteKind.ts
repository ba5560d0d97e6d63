/** What kind of work a route carries. */
export enum RouteKind {
    /** Idempotent and small; may be retried. */
    Lookup = "lookup",
    /** Not idempotent, such as an order or a fee payment; runs at most once. */
    Order = "order",
    /** Idempotent with a large answer that is streamed. */
    Bulk = "bulk",
}
