/** The calls between entry hosts. */
export enum PeerMethod {
    GetChunks = "chunk.get",
    PullGossip = "gossip.pull",
}
