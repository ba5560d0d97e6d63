/** The faults of the fault matrix. Host faults affect the host that the protocol runs on, or another host ("Other"). */
export enum MatrixFault {
    Kill = "kill",
    KillOther = "kill-other",
    Freeze = "freeze",
    FreezeOther = "freeze-other",
    /** All messages from the host are lost. */
    DropOutgoing = "cut-out",
    /** All messages to the host are lost. */
    DropIncoming = "cut-in",
    /** The host can reach neither other hosts nor the store. */
    Isolate = "isolate",
    StoreUnavailable = "store-away",
    /** Writes to the store take effect, but the responses are lost. */
    StoreResponsesLost = "store-answers-lost",
    UpstreamErrors = "upstream-errors",
    UpstreamUnresponsive = "upstream-silent",
    UpstreamResponsesLost = "upstream-answers-lost",
    UpstreamResponsesTruncated = "upstream-answers-cut",
    /** Another operator changes the same section concurrently through another host. */
    ConcurrentChange = "operator-race",
}
