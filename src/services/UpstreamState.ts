/** Where an upstream stands in its life. */
export enum UpstreamState {
    Healthy = "healthy",
    /** Some evidence of failure; works on. */
    Suspected = "suspected",
    /** Convicted, but the floor forbids its ejection; gets work last. */
    EjectionWithheld = "held",
    /** Out of work. */
    Ejected = "ejected",
    /** Gets a few trial lookups. */
    Probation = "probation",
    /** Gets more work with each answer that comes in time. */
    Ramping = "ramping",
    /** Leaving; gets no new work. */
    Draining = "draining",
}
