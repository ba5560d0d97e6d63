import type { Member } from "../head/index.js";
import type { DecisionLog } from "../logging/index.js";
import type { PeerHandlers, PeerTransport } from "../peers/index.js";
import type { RandomSource } from "../random/index.js";
import type { Clock } from "../time/index.js";
import type { Replica } from "./Replica.js";
import type { ReplicatedStore } from "./ReplicatedStore.js";

/** What the keeper of a replica works with. */
export interface ReplicaSynchronizerOptions {
    readonly clock: Clock;
    readonly decisions: DecisionLog;
    readonly replica: Replica;
    readonly store: ReplicatedStore;
    readonly transport: PeerTransport;
    readonly handlers: PeerHandlers;
    readonly random: RandomSource;
    /** This host's entry. */
    readonly self: Member;
    /**
     * Gets the hosts of each availability zone in the order in which they take their copies, this one too if it is known; the
     * same array until something changes.
     */
    readonly getHostRankings: () => readonly (readonly Member[])[];
}
