import type { ChangeKind } from "./ChangeKind.js";

/** An immutable record of a change; its store key holds its digest and it names the record before it. */
export interface AuditRecord {
    /** The head version that the change makes. */
    readonly version: number;
    readonly changeId: string;
    readonly operator: string;
    /** Milliseconds since the Unix epoch, by the clock of the entry host that applied it. */
    readonly time: number;
    /** The version that the operator had seen. */
    readonly baseVersion: number;
    /** What was done; keys appear by their public part only. */
    readonly operations: readonly AuditedOperation[];
    /** Digest of the change as it was sent. */
    readonly digest: string;
    /** The store key of the record before it; undefined for the first. */
    readonly previous?: string;
}

interface AuditedOperation {
    readonly kind: ChangeKind;
    /** The section, account, key or upstream that it names. */
    readonly subject: string;
    readonly detail?: string;
}
