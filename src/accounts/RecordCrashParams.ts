import type { CrashEvent } from "./CrashEvent.js";

/** The crashes of one request, sent to another account host. */
export interface RecordCrashParams {
    readonly account: string;
    readonly fingerprint: string;
    /** The crashes known to the sender. */
    readonly events: readonly CrashEvent[];
}
