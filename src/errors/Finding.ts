/** A validation error in an input, with its location. */
export interface Finding {
    /** The location of the error, for example "sections.orders.routes[2].path". */
    readonly place: string;
    readonly message: string;
}
