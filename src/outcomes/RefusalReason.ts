/** Why a request was not run. */
export enum RefusalReason {
    UnknownKey = "unknown-key",
    WithdrawnKey = "withdrawn-key",
    UnknownRoute = "unknown-route",
    MethodNotAllowed = "method-not-allowed",
    RouteNotAllowed = "route-not-allowed",
    MalformedRequest = "malformed-request",
    BodyTooLarge = "body-too-large",
    IdempotencyKeyRequired = "idempotency-key-required",
    IdempotencyKeyExpired = "idempotency-key-expired",
    IdempotencyKeyReused = "idempotency-key-reused",
    RateExceeded = "rate-exceeded",
    Overloaded = "overloaded",
    NoUpstream = "no-upstream",
    HostNotCurrent = "host-not-current",
    HostStopping = "host-stopping",
    /** The host that sent the request to a service host is stopping; callers are told that it is stopping. */
    SenderStopping = "sender-stopping",
    /** The service host reaches too few of the upstreams; another service host is tried. */
    HostCutOff = "host-cut-off",
    HostUnreachable = "host-unreachable",
    StoreUnavailable = "store-unavailable",
    DeadlineExceeded = "deadline-exceeded",
    RequestQuarantined = "request-quarantined",
    RetryBudgetSpent = "retry-budget-spent",
    /** The configuration's entry of the route or the account can't be served; all other entries are in force. */
    EntryDefective = "entry-defective",
    /** The request can't be written to any upstream. */
    NotSendable = "not-sendable",
}
