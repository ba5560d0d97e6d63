import type { ReplicaEvent } from "./ReplicaEvent.js";
import type { ReplicaPart } from "./ReplicaPart.js";

/** What a watcher of the store passes on to another host. */
export interface PushReplicaParams {
    /** The watcher's member id. */
    readonly sender: string;
    /** The events are all changes after this revision; 0 if they are none, as what the host knows is not known to the sender. */
    readonly from: number;
    /** The revision up to which the sender knows all changes. */
    readonly revision: number;
    /** How long ago the store is known to have had nothing newer, in milliseconds. */
    readonly ageMs: number;
    readonly events: readonly ReplicaEvent[];
    /** All items instead of events, for a host that is too far behind. */
    readonly parts?: readonly ReplicaPart[];
    /** Ids of members that don't answer the sender. */
    readonly unreachable: readonly string[];
}
