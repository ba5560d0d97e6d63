/** The kinds of decision that can be explained afterwards. */
export enum Decision {
    Admitted = "admitted",
    Refused = "refused",
    Dispatched = "dispatched",
    Retried = "retried",
    Answered = "answered",
    OutcomeUnknown = "outcome-unknown",
    Ejected = "ejected",
    EjectionWithheld = "ejection-withheld",
    Restored = "restored",
    Drained = "drained",
    HandedOver = "handed-over",
    ViewChanged = "view-changed",
    ConfigurationApplied = "configuration-applied",
    Quarantined = "quarantined",
    Started = "started",
    Stopped = "stopped",
    BecameCurrent = "became-current",
    /** What the store tells of upstreams or hosts has changed or could not be read. */
    SupplyChanged = "supply-changed",
    /** Something that this process relies on was lost or is back. */
    DependencyChanged = "dependency-changed",
    BecameStale = "became-stale",
    /** Regular figures of the load of this process. */
    LoadReported = "load-reported",
}
