/** Why a request ended as it did. */
export enum CauseKind {
    /** An upstream served it. */
    Served = "served",
    /** No log has a line on it. */
    NotFound = "not-found",
    /** The host that took it in has left no answer in its log. */
    HostEnded = "host-ended",
    /** An upstream answered with a failure, or left it without an answer. */
    UpstreamFailed = "upstream-failed",
    /** The service host that had it ended or was cut off. */
    ServiceHostLost = "service-host-lost",
    /** Too few sound upstreams, or slots, for the service's load. */
    ServiceShort = "service-short",
    /** The account was above its rate. */
    RateExceeded = "rate-exceeded",
    /** The account was inside its rate, but its owner changed or could not be asked. */
    RateOwnerLost = "rate-owner-lost",
    /** It was not allowed, or not a request that can be run. */
    NotAllowed = "not-allowed",
    /** It crashes upstreams. */
    Quarantined = "quarantined",
    /** The host was stopping, or had no configuration yet. */
    HostNotServing = "host-not-serving",
    /** The caller left before it was answered. */
    CallerLeft = "caller-left",
    /** The deadline passed, and no line says what it was spent on. */
    DeadlinePassed = "deadline-passed",
    /** The request failed inside the host that took it in. */
    HostFailed = "host-failed",
}
