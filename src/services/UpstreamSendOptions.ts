/** Limits of one attempt at an upstream. */
export interface UpstreamSendOptions {
    /** Time until the first byte of the answer, in milliseconds. */
    readonly firstByteTimeoutMs: number;
    /** Time until the caller's deadline, in milliseconds; the upstream is told. */
    readonly deadlineMs: number;
    /** Time until the whole answer, in milliseconds; without a limit if undefined. */
    readonly answerTimeoutMs?: number | undefined;
    /** Whether to open a new connection rather than use an idle one. */
    readonly freshConnection: boolean;
    readonly signal: AbortSignal;
}
