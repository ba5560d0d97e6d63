import type { RecordEnd } from "./RecordEnd.js";

/** What an upstream stand-in remembers of a request; times are in milliseconds since the Unix epoch. */
export interface UpstreamRecord {
    readonly upstream: string;
    readonly method: string;
    /** Path with query. */
    readonly path: string;
    readonly requestId: string | undefined;
    readonly idempotencyKey: string | undefined;
    readonly account: string | undefined;
    readonly receivedAt: number;
    /** When the work began; undefined if it never ran. */
    startedAt: number | undefined;
    endedAt: number | undefined;
    /** Whether the work took effect. */
    ran: boolean;
    end: RecordEnd;
    /** The status sent, if any. */
    status: number | undefined;
    /** Whether the upstream was leaving when the request came. */
    readonly isDraining: boolean;
    /** Header names and values in turn, as received. */
    readonly headers: readonly string[];
}
