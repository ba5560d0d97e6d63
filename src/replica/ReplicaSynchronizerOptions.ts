import type { Member } from "../head/index.js";
import type { DecisionLog } from "../logging/index.js";
import type { PeerHandlers, PeerTransport } from "../peers/index.js";
import type { RandomSource } from "../random/index.js";
import type { Clock } from "../time/index.js";
import type { Replica } from "./Replica.js";
import type { ReplicatedStore } from "./ReplicatedStore.js";

/** Dependencies of a replica synchronizer. */
export interface ReplicaSynchronizerOptions {
    readonly clock: Clock;
    readonly decisions: DecisionLog;
    readonly replica: Replica;
    /** The store that is replicated. */
    readonly store: ReplicatedStore;
    readonly transport: PeerTransport;
    readonly handlers: PeerHandlers;
    readonly random: RandomSource;
    /** This host's entry. */
    readonly self: Member;
    /**
     * Gets the ranking of the hosts of each availability zone, from which the tree is built, including this host if it is registered;
     * returns the same array until a ranking changes.
     */
    readonly getHostRankings: () => readonly (readonly Member[])[];
}
