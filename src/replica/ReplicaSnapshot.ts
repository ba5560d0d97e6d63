import type { SnapshotPart } from "./SnapshotPart.js";

/** All items of the store at one time of one epoch. */
export interface ReplicaSnapshot {
    /** The store's epoch: rises each time the store returns from an older copy, after which revisions start a new history. */
    readonly epoch: number;
    readonly parts: readonly SnapshotPart[];
}
