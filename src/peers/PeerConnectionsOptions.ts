/** Limits of the connections to other entry hosts. */
export interface PeerConnectionsOptions {
    /** Connections to one peer. */
    readonly maxConnections: number;
    /** Time to open a connection, in milliseconds. */
    readonly connectTimeoutMs: number;
}
