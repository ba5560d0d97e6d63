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
    readonly accounts: readonly AccountReport[];
    readonly faults: readonly FaultReport[];
    /** Requests sent that have no result. */
    readonly unaccounted: number;
    /** Undefined if no records were asked for. */
    readonly audit: AuditReport | undefined;
    /** Whether every request is accounted for, every fault was caused and the audit found nothing. */
    readonly isClean: boolean;
}
