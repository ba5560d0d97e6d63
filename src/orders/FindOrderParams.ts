/** Asks a host whether it holds an incarnation's orders, and for the outcome of one of them. */
export interface FindOrderParams {
    readonly memberId: string;
    readonly incarnation: string;
    readonly account?: string;
    readonly key?: string;
}
