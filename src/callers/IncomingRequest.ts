import type { HeaderFields } from "../outcomes/index.js";

/** A request as received from a caller, before any check. */
export interface IncomingRequest {
    readonly method: string;
    /** Path with query string. */
    readonly target: string;
    readonly headers: HeaderFields;
    /**
     * Reads the body; returns undefined if it is longer than the limit.
     * @param maxBytes - The limit in bytes.
     */
    readonly readBody: (maxBytes: number) => Promise<Buffer | undefined>;
    /** Time since the request was read, in milliseconds. */
    readonly waitedMs: number;
    /** Aborted when the caller closes the connection. */
    readonly signal: AbortSignal;
}
