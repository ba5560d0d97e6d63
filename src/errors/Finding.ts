/** One thing found wrong in an input, with its place. */
export interface Finding {
    /** Where it was found, for example "sections.orders.routes[2].path". */
    readonly place: string;
    readonly message: string;
}
