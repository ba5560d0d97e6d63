import type { Member } from "../head/index.js";
import type { DecisionLog } from "../logging/index.js";
import type { Clock } from "../time/index.js";
import type { StoreItemDecoder } from "./StoreItemDecoder.js";

/** What the supply works with. */
export interface SupplyOptions {
    readonly clock: Clock;
    readonly decisions: DecisionLog;
    readonly decoder: StoreItemDecoder;
    /** Gets when touch with the store was regained last, in milliseconds of the clock; -Infinity if it was never lost. */
    readonly getStoreRegainedTime: () => number;
    /** Whether an entry is that of this host, which lives and does not leave. */
    readonly isOwnEntry: (member: Member) => boolean;
    /** Runs when this host's own entry has vanished. */
    readonly onOwnEntryLapsed: () => void;
}
