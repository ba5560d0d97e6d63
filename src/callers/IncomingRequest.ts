import type { HeaderFields } from "../outcomes/index.js";

/** A request as it came from a caller. */
export interface IncomingRequest {
    readonly method: string;
    /** Path with query. */
    readonly target: string;
    readonly headers: HeaderFields;
    /**
     * Reads the body; undefined if it is longer than the limit.
     * @param maxBytes - The limit in bytes.
     */
    readonly readBody: (maxBytes: number) => Promise<Buffer | undefined>;
    /** Aborted when the caller has left. */
    readonly signal: AbortSignal;
}
