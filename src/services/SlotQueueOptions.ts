import type { Clock } from "../time/index.js";
import type { FirstByteLimit } from "./FirstByteLimit.js";
import type { UpstreamSelector } from "./UpstreamSelector.js";

/** What a queue for slots is made of. */
export interface SlotQueueOptions {
    readonly clock: Clock;
    readonly selector: UpstreamSelector;
    readonly limit: FirstByteLimit;
    /** Gets the slots that may be used now. */
    readonly getSlots: () => number;
    /** Gets the requests that may wait. */
    readonly getCapacity: () => number;
}
