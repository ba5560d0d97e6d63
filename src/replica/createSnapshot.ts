import type { Replica } from "./Replica.js";
import type { SnapshotPart } from "./SnapshotPart.js";

/**
 * Creates a snapshot of a replica, for a host whose missing changes are no longer known.
 * @param replica - The replica.
 */
export function createSnapshot(replica: Replica): readonly SnapshotPart[] {
    const items = replica.getEvents().filter(event => event.value !== undefined);
    return [{ prefix: "", revision: replica.getRevision(), items }];
}
