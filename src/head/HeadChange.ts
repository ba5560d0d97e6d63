/** A change that the head has taken in; kept for the newest changes to settle lost answers. */
export interface HeadChange {
    /** Chosen by whoever makes the change; unique. */
    readonly id: string;
    /** The head version that took it in. */
    readonly version: number;
    /** The store key of its audit record; undefined for a change of view. */
    readonly auditKey?: string;
    /** Digest of what the change does, so that an id used twice is noticed; undefined for a change of view. */
    readonly digest?: string;
}
