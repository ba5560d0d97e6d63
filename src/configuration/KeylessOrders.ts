/** What a route of orders does with a request that carries no Idempotency-Key. */
export enum KeylessOrders {
    Refuse = "refuse",
    /** Dispatches it at most once. */
    Accept = "accept",
}
