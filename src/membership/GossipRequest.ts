/** Asks a host for its head version and for what it knows of the members. */
export interface GossipRequest {
    /** The peer address of the host that asks. */
    readonly from: string;
}
