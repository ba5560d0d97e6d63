/** Where a service host asks whether it may send a request to one more upstream: its sender may do so too, and the route limits both. */
export interface RetryClaim {
    /** The peer address of the sender. */
    readonly hostAddress: string;
    /** Identifies the attempt there. */
    readonly id: number;
}
