/** Limits of the connections to other entry hosts. */
export interface PeerConnectionsOptions {
    /** Most connections to one peer. */
    readonly maxConnections: number;
    /** Timeout for opening a connection, in milliseconds. */
    readonly connectTimeoutMs: number;
}
