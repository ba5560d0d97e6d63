/** The kinds of recorded decisions. */
export enum Decision {
    Admitted = "admitted",
    Refused = "refused",
    Dispatched = "dispatched",
    Retried = "retried",
    /** No other attempt came of a retry, so that the outcome of the attempt before it stands. */
    RetryRefused = "retry-refused",
    Answered = "answered",
    OutcomeUnknown = "outcome-unknown",
    Ejected = "ejected",
    EjectionWithheld = "ejection-withheld",
    Restored = "restored",
    Drained = "drained",
    HandedOver = "handed-over",
    /** An upstream has named another limit of its request rate, or none any more. */
    RequestRateNamed = "request-rate-named",
    /** Operators want nothing more sent to a zone's upstreams. */
    ZoneEvacuated = "zone-evacuated",
    /** Operators have ended the evacuation of a zone. */
    ZoneTakenBack = "zone-taken-back",
    ViewChanged = "view-changed",
    ConfigurationApplied = "configuration-applied",
    Quarantined = "quarantined",
    Started = "started",
    Stopped = "stopped",
    BecameCurrent = "became-current",
    /** Data in the store on upstreams or hosts has changed or could not be read. */
    SupplyChanged = "supply-changed",
    /** A dependency of this process became unavailable or available again. */
    DependencyChanged = "dependency-changed",
    BecameStale = "became-stale",
    /** An answer was cut or a connection closed, as memory or connections were short. */
    Cut = "cut",
    /** Periodic load metrics of this process. */
    LoadReported = "load-reported",
}
