import type { HostReport } from "./HostReport.js";
import type { ReplicaEvent } from "./ReplicaEvent.js";
import type { RevisionGap } from "./RevisionGap.js";
import type { SnapshotPart } from "./SnapshotPart.js";

/** What a host's copy of the store has beyond that of the host that asked. */
export interface PullReplicaResult {
    /** The revision up to which the events are complete. */
    readonly revision: number;
    readonly events: readonly ReplicaEvent[];
    readonly jumps: readonly RevisionGap[];
    /** All items instead of events, for a host that is too far behind. */
    readonly parts?: readonly SnapshotPart[];
    /**
     * When the copy is known to have been current, in milliseconds after the arrival of the call, so that no time on the way
     * makes it look younger; left out if it never was.
     */
    readonly confirmedMs?: number;
    /**
     * When touch with the store was regained last, in milliseconds after the arrival of the call; left out if it never was lost. A host
     * that was late itself does not know whether the store was away.
     */
    readonly regainedMs?: number;
    /** The hosts from which the answering host takes its copy, the nearest first, as far as it knows. */
    readonly path: readonly string[];
    readonly reports: readonly HostReport[];
}
