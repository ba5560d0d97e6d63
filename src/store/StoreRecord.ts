/** A value in the platform's store with its revision. */
export interface StoreRecord {
    readonly value: string;
    /** Increases with every write of this key; never 0. */
    readonly revision: number;
}
