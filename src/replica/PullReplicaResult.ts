import type { HostReport } from "./HostReport.js";
import type { ReplicaEvent } from "./ReplicaEvent.js";
import type { RevisionGap } from "./RevisionGap.js";
import type { SnapshotPart } from "./SnapshotPart.js";

/** Result of the call that pulls changes from a host's replica. */
export interface PullReplicaResult {
    /** The store's epoch, to which all revisions belong. If it is earlier than the sender's, the result holds nothing for the sender. */
    readonly epoch: number;
    /** The revision up to which the events are complete. */
    readonly revision: number;
    readonly events: readonly ReplicaEvent[];
    /** Revision gaps after the sender's revision. */
    readonly jumps: readonly RevisionGap[];
    /** A snapshot instead of events, if the changes since the sender's revision are no longer known or the sender's epoch is earlier. */
    readonly parts?: readonly SnapshotPart[];
    /**
     * When the replica was last confirmed to be current, in milliseconds after the arrival of the call; left out if never. Relative to
     * the arrival, because network delay must not make the replica look younger.
     */
    readonly confirmedMs?: number;
    /**
     * When contact with the store was last regained, in milliseconds after the arrival of the call; left out if it was never lost. A
     * host that was cut off itself needs this, because it cannot tell whether the store was unavailable.
     */
    readonly regainedMs?: number;
    /** The chain of hosts from which the answering host pulls, the nearest first, as far as it is known. */
    readonly path: readonly string[];
    readonly reports: readonly HostReport[];
}
