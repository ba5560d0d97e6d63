import type { CrashEvent } from "./CrashEvent.js";

/** The crashes of the same request that the answering account host knows. */
export interface RecordCrashResult {
    readonly events: readonly CrashEvent[];
}
