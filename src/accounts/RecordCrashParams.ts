import type { CrashEvent } from "./CrashEvent.js";

/** The crashes of one request, sent to another account host. */
export interface RecordCrashParams {
    /** The account's name; undefined for a caller without an API key. */
    readonly account?: string | undefined;
    readonly fingerprint: string;
    /** The crashes known to the sender. */
    readonly events: readonly CrashEvent[];
}
