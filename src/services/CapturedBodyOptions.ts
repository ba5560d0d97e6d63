/** How an answer's body is kept while it is passed on. */
export interface CapturedBodyOptions {
    readonly maxBytes: number;
    /** Aborted when the caller has left; the rest is then read and kept. */
    readonly signal: AbortSignal;
    /** Receives the whole body, undefined if it was too large to keep, or the error that cut it. */
    readonly onEnd: (body: Buffer | undefined, error: Error | undefined) => void;
}
