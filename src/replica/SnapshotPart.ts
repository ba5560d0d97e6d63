import type { ReplicaEvent } from "./ReplicaEvent.js";

/** A part of a snapshot: all items whose keys begin with a prefix, as of a revision. */
export interface SnapshotPart {
    readonly prefix: string;
    readonly revision: number;
    readonly items: readonly ReplicaEvent[];
}
