/** One difference between two documents. */
export interface DocumentDifference {
    /** Where, for example "sections.orders.routes.orders". */
    readonly place: string;
    readonly kind: "added" | "removed" | "changed";
}
