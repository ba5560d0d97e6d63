/** An item of the document with its place. */
export interface PlacedItem<T> {
    readonly place: string;
    readonly section: string;
    readonly value: T;
}
