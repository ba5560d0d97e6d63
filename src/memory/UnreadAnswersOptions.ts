import type { DecisionLog } from "../logging/index.js";
import type { Clock } from "../time/index.js";
import type { MemoryBudget } from "./MemoryBudget.js";

/** Dependencies of the answers that are being sent. */
export interface UnreadAnswersOptions {
    readonly clock: Clock;
    readonly budget: MemoryBudget;
    readonly decisions: DecisionLog;
}
