/** The state of an upstream in its lifecycle. */
export enum UpstreamState {
    Healthy = "healthy",
    /** In service with some evidence against it. */
    Suspected = "suspected",
    /** Its evidence reaches the threshold, but too few others are in service to eject it; gets requests last. */
    EjectionWithheld = "held",
    /** Gets no requests. */
    Ejected = "ejected",
    /** Gets one trial request at a time, as in a half-open circuit breaker. */
    Probation = "probation",
    /** Slow start: gets more concurrent requests as answers come in time. */
    Ramping = "ramping",
    /** Finishes its requests and gets no new ones. */
    Draining = "draining",
}
