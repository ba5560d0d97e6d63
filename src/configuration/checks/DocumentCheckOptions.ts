/** What a document is checked against besides itself. */
export interface DocumentCheckOptions {
    /** The availability zones that upstreams may stand in; any if undefined. */
    readonly zones?: readonly string[];
}
