/** A query whether a host holds an incarnation's orders and, if account and key are set, for the outcome of one of them. */
export interface FindOrderParams {
    readonly memberId: string;
    readonly incarnation: string;
    readonly account?: string;
    readonly key?: string;
}
