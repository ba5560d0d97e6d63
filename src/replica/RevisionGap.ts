/** Revisions between which a copy does not know each change, since it took over a whole reading. */
export interface RevisionGap {
    /** The revision that was known before. */
    readonly from: number;
    /** The revision of the reading. */
    readonly to: number;
}
