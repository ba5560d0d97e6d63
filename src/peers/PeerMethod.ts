/** The calls between entry hosts. */
export enum PeerMethod {
    GetChunks = "chunk.get",
    PullGossip = "gossip.pull",
    GetHead = "head.get",
    GetInstalled = "head.installed",
    Probe = "membership.probe",
    EditView = "membership.edit",
    ShareBaseline = "service.shareBaseline",
    FindOutcome = "service.findOutcome",
    RemoveCrash = "service.removeCrash",
    BorrowTokens = "rate.borrow",
    ReceiveTokens = "rate.receive",
    HandOverRates = "rate.handOver",
    HandOverOrders = "order.handOver",
    FindOrder = "order.find",
    ClaimOrder = "order.claim",
    RecordCrash = "quarantine.record",
}
