/** The process that alone may dispatch an order. */
export interface OrderHolder {
    readonly memberId: string;
    readonly incarnation: string;
}
