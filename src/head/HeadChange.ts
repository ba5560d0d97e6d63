/** A change that was applied to the head; tells a writer whose answer was lost that its change took effect. */
export interface HeadChange {
    /** Unique; assigned by the writer of the change. */
    readonly id: string;
    /** The first head version with the change. */
    readonly version: number;
    /** The store key of its audit record; undefined for a change of view. */
    readonly auditKey?: string;
    /** Digest of the change's contents, to detect a reused id; undefined for a change of view. */
    readonly digest?: string;
}
