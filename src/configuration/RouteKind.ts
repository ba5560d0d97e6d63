/** The kind of requests on a route, which decides whether they may be retried. */
export enum RouteKind {
    /** Idempotent with a small response; may be retried. */
    Lookup = "lookup",
    /** Not idempotent, such as an order or a fee payment; runs at most once. */
    Order = "order",
    /** Idempotent with a large, streamed response. */
    Bulk = "bulk",
}
