/** What changes an upstream's state. */
export enum UpstreamEvent {
    Suspect = "suspect",
    Clear = "clear",
    Hold = "hold",
    Eject = "eject",
    Try = "try",
    Restore = "restore",
    Restart = "restart",
    Warm = "warm",
    Drain = "drain",
    Return = "return",
}
