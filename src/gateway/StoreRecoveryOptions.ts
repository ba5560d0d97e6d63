import type { Member } from "../head/index.js";
import type { DecisionLog } from "../logging/index.js";
import type { RandomSource } from "../random/index.js";
import type { Clock } from "../time/index.js";
import type { StoreRestorer } from "./StoreRestorer.js";

/** The dependencies of a store recovery. */
export interface StoreRecoveryOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly decisions: DecisionLog;
    readonly self: Member;
    readonly restorer: StoreRestorer;
    /** Whether this host is one of those that watch the store, which write what all hosts share. */
    readonly isWatching: () => boolean;
    /** Finds the text of the document in force if the store holds only older ones. */
    readonly findLostDocument: () => string | undefined;
    /** Writes this host's entry again, under a new lease. */
    readonly onEntryLost: () => void;
}
