import type { Clock } from "../time/index.js";
import type { MemoryBudget } from "./MemoryBudget.js";

/** Dependencies of the room for bodies. */
export interface BodyRoomOptions {
    readonly clock: Clock;
    readonly budget: MemoryBudget;
    /** Gets the time in which the next bytes of a body must come, in milliseconds. */
    readonly getIdleTimeout: () => number;
}
