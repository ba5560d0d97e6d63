/** The calls between entry hosts. */
export enum PeerMethod {
    PullGossip = "gossip.pull",
    ShareBaseline = "service.shareBaseline",
    FindOutcome = "service.findOutcome",
    RemoveCrash = "service.removeCrash",
}
