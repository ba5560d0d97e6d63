import type { ReplicaEvent } from "./ReplicaEvent.js";

/** All items whose keys begin with a prefix, as the store had them at a revision. */
export interface SnapshotPart {
    readonly prefix: string;
    readonly revision: number;
    readonly items: readonly ReplicaEvent[];
}
