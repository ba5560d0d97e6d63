/** The measured experiments. */
export enum ScenarioKind {
    Healthy = "healthy",
    GrayErrors = "gray-errors",
    GraySlowness = "gray-slowness",
    Flapping = "flapping",
    BusyAccount = "busy-account",
    StoreAway = "store-away",
    HostKilled = "host-killed",
    ColdStart = "cold-start",
    CrashingRequest = "crashing-request",
}
