/** The events that change an upstream's state. */
export enum UpstreamEvent {
    Suspect = "suspect",
    Clear = "clear",
    WithholdEjection = "hold",
    Eject = "eject",
    StartProbation = "try",
    Restore = "restore",
    Restart = "restart",
    EndRamp = "warm",
    Drain = "drain",
    CancelDrain = "return",
}
