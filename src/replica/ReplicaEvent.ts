/** A change of one item of the replicated store. */
export interface ReplicaEvent {
    readonly key: string;
    /** The store's revision at the change. */
    readonly revision: number;
    /** What was written, as text; undefined if the item was removed. */
    readonly value?: string;
}
