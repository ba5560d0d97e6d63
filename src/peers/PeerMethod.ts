/** The calls between entry hosts. */
export enum PeerMethod {
    PullGossip = "gossip.pull",
}
