/** A range of revisions in which a replica does not know every change, because it applied a snapshot. */
export interface RevisionGap {
    /** The known revision before the snapshot. */
    readonly from: number;
    /** The revision of the snapshot. */
    readonly to: number;
}
