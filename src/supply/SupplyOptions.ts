import type { Member } from "../head/index.js";
import type { DecisionLog } from "../logging/index.js";
import type { Clock } from "../time/index.js";
import type { StoreItemDecoder } from "./StoreItemDecoder.js";

/** Dependencies of a supply. */
export interface SupplyOptions {
    readonly clock: Clock;
    readonly decisions: DecisionLog;
    readonly decoder: StoreItemDecoder;
    /** Gets when contact with the store was last regained after a loss, in milliseconds of the clock; -Infinity if it was never lost. */
    readonly getStoreRegainedTime: () => number;
    /** Whether an entry is this host's own while it is not leaving the fleet. */
    readonly isOwnEntry: (member: Member) => boolean;
    /** Whether an entry is of an earlier process of this host, while this one is not leaving the fleet. */
    readonly isEarlierEntry: (member: Member) => boolean;
    /** Runs when this host's own entry was removed from the store, or replaced by that of an earlier process. */
    readonly onOwnEntryLost: () => void;
}
