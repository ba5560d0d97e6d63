/** The protocols during which the fault matrix injects faults. */
export enum MatrixProtocol {
    AcceptChange = "accept-change",
    WithdrawKey = "withdraw-key",
    ChangeView = "change-view",
    Order = "order",
    BorrowTokens = "borrow-tokens",
    EjectUpstream = "eject-upstream",
    DrainUpstream = "drain-upstream",
    PlannedStop = "planned-stop",
}
