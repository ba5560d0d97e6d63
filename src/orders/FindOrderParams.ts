/** A query whether a host holds an incarnation's orders and, if the key is set, for the outcome of one of them. */
export interface FindOrderParams {
    readonly memberId: string;
    readonly incarnation: string;
    /** The account's name; undefined for a caller without an API key. */
    readonly account?: string;
    readonly key?: string;
}
