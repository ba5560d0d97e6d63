/** The limit of open connections, and what is done beyond it. */
export interface ConnectionLimitOptions {
    readonly maxConnections: number;
    /** Makes room by closing the slowest connection; the new one comes too early for it. */
    readonly closeSlowest: () => boolean;
    /** Called when a connection is closed beyond the limit. */
    readonly onClosed: () => void;
}
