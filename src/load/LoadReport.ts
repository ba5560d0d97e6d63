import type { AccountReport } from "./AccountReport.js";
import type { AuditReport } from "./AuditReport.js";
import type { FaultReport } from "./FaultReport.js";

/** The result of a run of the load tool. */
export interface LoadReport {
    readonly name: string;
    readonly seed: number;
    /** Milliseconds since the Unix epoch. */
    readonly startedAt: number;
    readonly durationMs: number;
    /** How late the tool itself sent requests, 99th percentile in milliseconds; high on a busy machine. */
    readonly latenessP99Ms: number;
    readonly accounts: readonly AccountReport[];
    readonly faults: readonly FaultReport[];
    /** Requests sent that have no result. */
    readonly unaccounted: number;
    /** Undefined if no records were asked for or could be read. */
    readonly audit: AuditReport | undefined;
    /** Why the records could not be read, if so. */
    readonly auditFailure: string | undefined;
    /** Whether every request is accounted for, every fault was caused and the audit found nothing. */
    readonly isClean: boolean;
}
