/** An item with its path in the document. */
export interface PlacedItem<T> {
    readonly place: string;
    readonly section: string;
    readonly value: T;
}
