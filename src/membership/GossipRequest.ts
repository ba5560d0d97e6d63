/** Asks a host for its head version and its confirmation ages. */
export interface GossipRequest {
    /** The peer address of the requesting host. */
    readonly from: string;
}
