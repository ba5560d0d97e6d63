/** What a caller may send and how long it may take. */
export interface CallerLimits {
    readonly maxHeaderBytes: number;
    readonly maxBodyBytes: number;
    /** How long the header fields of a request may take, in milliseconds. */
    readonly headersTimeoutMs: number;
    /** How long a connection may stay idle, in milliseconds. */
    readonly idleTimeoutMs: number;
}
