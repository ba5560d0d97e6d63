import type { Replica } from "./Replica.js";
import type { SnapshotPart } from "./SnapshotPart.js";

/**
 * Creates a whole reading of a replica, for a host that is too far behind.
 * @param replica - The replica.
 */
export function createSnapshot(replica: Replica): readonly SnapshotPart[] {
    const items = replica.getEvents().filter(event => event.value !== undefined);
    return [{ prefix: "", revision: replica.getRevision(), items }];
}
