import type { CrashEvent } from "./CrashEvent.js";

/** Tells an account host of requests on which upstreams crashed. */
export interface RecordCrashParams {
    readonly account: string;
    readonly fingerprint: string;
    /** The crashes that the sender knows. */
    readonly events: readonly CrashEvent[];
}
