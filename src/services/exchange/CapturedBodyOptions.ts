/** Options for capturing a response body while it is streamed. */
export interface CapturedBodyOptions {
    readonly maxBytes: number;
    /** Aborted when the caller disconnects; the rest of the body is then read and captured. */
    readonly signal: AbortSignal;
    /** Receives the whole body, undefined if it exceeds `maxBytes`, or the error that ended it early. */
    readonly onEnd: (body: Buffer | undefined, error: Error | undefined) => void;
}
