import type { DecisionLog } from "../logging/index.js";
import type { Clock } from "../time/index.js";
import type { SupplyDecoder } from "./SupplyDecoder.js";

/** What the supply works with. */
export interface SupplyOptions {
    readonly clock: Clock;
    readonly decisions: DecisionLog;
    readonly decoder: SupplyDecoder;
    /** Gets when touch with the store was regained last, in milliseconds of the clock; -Infinity if it was never lost. */
    readonly getRegainedTime: () => number;
}
