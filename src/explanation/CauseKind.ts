/** The kinds of reasons why a request ended as it did. */
export enum CauseKind {
    /** An upstream served the request. */
    Served = "served",
    /** No log has a line on the request. */
    NotFound = "not-found",
    /** The host that received the request logged no answer to it. */
    HostTerminated = "host-ended",
    /** An upstream answered with an error, or did not answer. */
    UpstreamFailed = "upstream-failed",
    /** The service host that had the request terminated or became unreachable. */
    ServiceHostLost = "service-host-lost",
    /** Too few healthy upstreams or free slots for the service's load. */
    InsufficientCapacity = "service-short",
    /** The account exceeded its rate. */
    RateExceeded = "rate-exceeded",
    /** The account was within its rate, but the host that counts its requests changed or could not be reached. */
    RateOwnerUnavailable = "rate-owner-lost",
    /** The request was not permitted or not valid. */
    RequestRejected = "not-allowed",
    /** The request is quarantined because it crashes upstreams. */
    Quarantined = "quarantined",
    /** The host was shutting down, or had no configuration yet. */
    HostNotServing = "host-not-serving",
    /** The caller disconnected before the answer. */
    CallerDisconnected = "caller-left",
    /** The deadline was exceeded, and no log line shows what took the time. */
    DeadlineExceeded = "deadline-passed",
    /** The request failed inside the host that received it. */
    InternalError = "host-failed",
}
