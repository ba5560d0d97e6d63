import type { ChangeKind } from "./ChangeKind.js";

/** An immutable record of a change. Its store key contains its digest, and it refers to the previous record. */
export interface AuditRecord {
    /** The head version that the change creates. */
    readonly version: number;
    readonly changeId: string;
    readonly operator: string;
    /** Milliseconds since the Unix epoch, by the clock of the entry host that applied the change. */
    readonly time: number;
    /** The head version on which the operator based the change. */
    readonly baseVersion: number;
    /** The operations of the change; keys appear with their public part only. */
    readonly operations: readonly AuditedOperation[];
    /** Digest of the change as submitted. */
    readonly digest: string;
    /** The store key of the previous record; undefined for the first one. */
    readonly previous?: string;
}

interface AuditedOperation {
    readonly kind: ChangeKind;
    /** Name of the section, account, key or upstream that the operation changes. */
    readonly subject: string;
    readonly detail?: string;
}
