import type { AuditRecord } from "./AuditRecord.js";

/** A record of the audit trail together with its store key. */
export interface AuditEntry {
    readonly key: string;
    readonly record: AuditRecord;
}
