import type { CrashEvent } from "./CrashEvent.js";

/** The crashes of the request that are known to the receiver. */
export interface RecordCrashResult {
    readonly events: readonly CrashEvent[];
}
