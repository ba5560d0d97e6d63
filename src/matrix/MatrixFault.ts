/** The faults of the fault matrix; those of hosts hit the host that the protocol runs on, or another one. */
export enum MatrixFault {
    Kill = "kill",
    KillOther = "kill-other",
    Freeze = "freeze",
    FreezeOther = "freeze-other",
    /** What the host sends is lost. */
    CutOut = "cut-out",
    /** What is sent to the host is lost. */
    CutIn = "cut-in",
    /** The host reaches neither hosts nor the store. */
    Isolate = "isolate",
    StoreAway = "store-away",
    /** Writes take effect, their answers are lost. */
    StoreAnswersLost = "store-answers-lost",
    UpstreamErrors = "upstream-errors",
    UpstreamSilent = "upstream-silent",
    UpstreamAnswersLost = "upstream-answers-lost",
    UpstreamAnswersCut = "upstream-answers-cut",
    /** Another operator changes the same section on another host. */
    OperatorRace = "operator-race",
}
