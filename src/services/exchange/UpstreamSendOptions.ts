/** Limits of one attempt at an upstream. */
export interface UpstreamSendOptions {
    /** Time until the first byte of the response is due, in milliseconds. */
    readonly firstByteTimeoutMs: number;
    /** The deadline that is sent to the upstream, in milliseconds from now. */
    readonly deadlineMs: number;
    /** Time until the whole response is due, in milliseconds; no limit if undefined. */
    readonly answerTimeoutMs?: number | undefined;
    /** Whether to open a new connection unless an idle one received a response recently. */
    readonly freshConnection: boolean;
    readonly signal: AbortSignal;
}
