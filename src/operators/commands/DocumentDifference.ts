/** A difference between two configuration documents. */
export interface DocumentDifference {
    /** Path of the item, for example "sections.orders.routes.orders". */
    readonly place: string;
    readonly kind: "added" | "removed" | "changed";
}
