/** The kinds of measured experiments. */
export enum ScenarioKind {
    Healthy = "healthy",
    GrayErrors = "gray-errors",
    GraySlowness = "gray-slowness",
    Flapping = "flapping",
    AccountOverRate = "busy-account",
    StoreUnavailable = "store-away",
    HostKilled = "host-killed",
    ColdStart = "cold-start",
    CrashingRequest = "crashing-request",
}
