/** The only process that may dispatch an order. */
export interface OrderHolder {
    readonly memberId: string;
    readonly incarnation: string;
}
