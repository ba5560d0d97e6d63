/** Options of the document check. */
export interface DocumentCheckOptions {
    /** The availability zones that upstreams may be in; any if undefined. */
    readonly zones?: readonly string[];
    /** Sections whose items have already been checked individually; only the checks between sections apply to them. */
    readonly checkedSections?: ReadonlySet<string>;
}
