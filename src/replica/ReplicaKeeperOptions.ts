import type { Member } from "../head/index.js";
import type { DecisionLog } from "../logging/index.js";
import type { PeerHandlers, PeerTransport } from "../peers/index.js";
import type { Clock } from "../time/index.js";
import type { Replica } from "./Replica.js";
import type { ReplicaSource } from "./ReplicaSource.js";

/** What the keeper of a replica works with. */
export interface ReplicaKeeperOptions {
    readonly clock: Clock;
    readonly decisions: DecisionLog;
    readonly replica: Replica;
    readonly source: ReplicaSource;
    readonly transport: PeerTransport;
    readonly handlers: PeerHandlers;
    /** This host's member id. */
    readonly selfId: string;
    /** Gets all hosts of the fleet in the order in which they watch the store, this one too if it is known. */
    readonly getOrder: () => readonly Member[];
}
