/** Limits of one attempt at an upstream. */
export interface UpstreamSendOptions {
    /** Time until the first byte of the answer, in milliseconds. */
    readonly firstByteTimeoutMs: number;
    /** Whether to open a new connection rather than use an idle one. */
    readonly freshConnection: boolean;
    readonly signal: AbortSignal;
}
