/** A range of revisions in which a replica does not know every change, because it applied a snapshot. */
export interface RevisionGap {
    /** The revision that was known before. */
    readonly from: number;
    /** The revision of the snapshot. */
    readonly to: number;
}
