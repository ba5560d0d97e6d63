/** What a document is checked against besides itself. */
export interface DocumentCheckOptions {
    /** The availability zones that upstreams may stand in; any if undefined. */
    readonly zones?: readonly string[];
    /** Sections whose items have been checked by themselves before; they are checked against the others only. */
    readonly checkedSections?: ReadonlySet<string>;
}
